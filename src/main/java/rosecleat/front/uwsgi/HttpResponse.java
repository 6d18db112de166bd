package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A response that the broker itself creates, as opposed to a {@link ServiceResponse}.
 *
 * @param status the HTTP status
 * @param headers the headers in addition to those that every response has
 * @param body the body
 */
record HttpResponse(int status, Map<String, String> headers, byte[] body) {
  private static final int NO_CONTENT = 204;

  /** Creates a response whose body is one line of text. */
  static HttpResponse text(int status, Map<String, String> headers, String text) {
    return new HttpResponse(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Encodes the status line and the headers, which precede the body. */
  ByteBuffer encodeHead(String contentType) {
    ResponseHead head = new ResponseHead(status).header("Connection", "close");
    if (status != NO_CONTENT) {
      head.header("Content-Type", contentType).contentLength(body.length);
    }
    headers.forEach(head::header);
    return head.encode();
  }
}
