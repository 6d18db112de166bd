package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A response that the broker itself makes, as opposed to a {@link ServiceResponse}.
 *
 * @param status the HTTP status
 * @param headers headers beside those that every response has
 * @param body the body
 */
record HttpResponse(int status, Map<String, String> headers, byte[] body) {
  private static final int NO_CONTENT = 204;

  /** Creates a response with one line of text as its body. */
  static HttpResponse text(int status, Map<String, String> headers, String text) {
    return new HttpResponse(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Encodes everything before the body. */
  ByteBuffer encodeHead(String contentType) {
    StringBuilder head =
        new StringBuilder("HTTP/1.1 ")
            .append(status)
            .append(' ')
            .append(ReasonPhrases.of(status))
            .append("\r\nConnection: close\r\n");
    if (status != NO_CONTENT) {
      head.append("Content-Type: ")
          .append(contentType)
          .append("\r\nContent-Length: ")
          .append(body.length)
          .append("\r\n");
    }
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
  }
}
