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
    ResponseHead head = new ResponseHead(status).header("Connection", "close");
    if (status != NO_CONTENT) {
      head.header("Content-Type", contentType).contentLength(body.length);
    }
    headers.forEach(head::header);
    return head.encode();
  }
}
