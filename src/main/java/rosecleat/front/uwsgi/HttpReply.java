package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** An answer as the HTTP response that uwsgi servers send back. */
record HttpReply(int status, Map<String, String> headers, byte[] body) {
  private static final Map<Integer, String> REASONS = Map.of(200, "OK", 400, "Bad Request", 403, "Forbidden",
      404, "Not Found", 405, "Method Not Allowed", 413, "Content Too Large", 502, "Bad Gateway",
      503, "Service Unavailable", 504, "Gateway Timeout");

  /** A short answer in words. */
  static HttpReply words(int status, Map<String, String> headers, String text) {
    return new HttpReply(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  ByteBuffer head(String contentType) {
    StringBuilder head = new StringBuilder("HTTP/1.1 ").append(status).append(' ')
        .append(REASONS.getOrDefault(status, "Status")).append("\r\nContent-Type: ").append(contentType)
        .append("\r\nContent-Length: ").append(body.length).append("\r\nConnection: close\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
  }
}
