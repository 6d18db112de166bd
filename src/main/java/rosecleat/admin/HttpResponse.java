package rosecleat.admin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * An HTTP response with a JSON body.
 *
 * @param status the status code
 * @param body the body, ASCII only
 * @param allow the value of the {@code Allow} header; empty for a response without that header
 */
record HttpResponse(HttpStatus status, String body, Optional<String> allow) {
  HttpResponse(HttpStatus status, String body) {
    this(status, body, Optional.empty());
  }

  /** Returns an error response whose body has the text as its {@code error} member. */
  static HttpResponse error(HttpStatus status, String text) {
    return new HttpResponse(status, "{\"error\":\"" + text + "\"}");
  }

  /** Returns the error response to a method that the path does not support. */
  static HttpResponse methodNotAllowed(String supportedMethod) {
    HttpResponse response = error(HttpStatus.METHOD_NOT_ALLOWED, "not by this method");
    return new HttpResponse(response.status, response.body, Optional.of(supportedMethod));
  }

  /** Encodes the response, with the header {@code Connection: close}. */
  ByteBuffer encode() {
    String head =
        "HTTP/1.1 "
            + status.code()
            + " "
            + status.reasonPhrase()
            + "\r\nContent-Type: application/json\r\n"
            + allow.map(method -> "Allow: " + method + "\r\n").orElse("")
            + "Content-Length: "
            + body.length()
            + "\r\nConnection: close\r\n\r\n";
    return ByteBuffer.wrap((head + body).getBytes(StandardCharsets.US_ASCII));
  }
}
