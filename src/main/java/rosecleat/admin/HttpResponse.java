package rosecleat.admin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A response with a JSON body.
 *
 * @param status the status code
 * @param body the body, ASCII only
 * @param allow the value of the {@code Allow} header, where the response has one
 */
record HttpResponse(HttpStatus status, String body, Optional<String> allow) {
  HttpResponse(HttpStatus status, String body) {
    this(status, body, Optional.empty());
  }

  /** An error response, with the text as the body's {@code error} member. */
  static HttpResponse error(HttpStatus status, String text) {
    return new HttpResponse(status, "{\"error\":\"" + text + "\"}");
  }

  /** The error response to a method that the path does not support. */
  static HttpResponse methodNotAllowed(String supportedMethod) {
    HttpResponse response = error(HttpStatus.METHOD_NOT_ALLOWED, "not by this method");
    return new HttpResponse(response.status, response.body, Optional.of(supportedMethod));
  }

  /** Returns the response as it goes onto the connection, which it closes. */
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
