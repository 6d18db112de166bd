package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** An answer as the HTTP response that uwsgi servers send back. */
record HttpReply(int status, Map<String, String> headers, byte[] body) {
  private static final Map<Integer, String> REASONS =
      Map.ofEntries(
          Map.entry(200, "OK"),
          Map.entry(201, "Created"),
          Map.entry(202, "Accepted"),
          Map.entry(204, "No Content"),
          Map.entry(206, "Partial Content"),
          Map.entry(301, "Moved Permanently"),
          Map.entry(302, "Found"),
          Map.entry(303, "See Other"),
          Map.entry(304, "Not Modified"),
          Map.entry(307, "Temporary Redirect"),
          Map.entry(308, "Permanent Redirect"),
          Map.entry(400, "Bad Request"),
          Map.entry(401, "Unauthorized"),
          Map.entry(403, "Forbidden"),
          Map.entry(404, "Not Found"),
          Map.entry(405, "Method Not Allowed"),
          Map.entry(406, "Not Acceptable"),
          Map.entry(409, "Conflict"),
          Map.entry(410, "Gone"),
          Map.entry(412, "Precondition Failed"),
          Map.entry(413, "Content Too Large"),
          Map.entry(415, "Unsupported Media Type"),
          Map.entry(422, "Unprocessable Content"),
          Map.entry(429, "Too Many Requests"),
          Map.entry(500, "Internal Server Error"),
          Map.entry(501, "Not Implemented"),
          Map.entry(502, "Bad Gateway"),
          Map.entry(503, "Service Unavailable"),
          Map.entry(504, "Gateway Timeout"));

  /** The phrase that goes with a status. */
  static String reason(int status) {
    return REASONS.getOrDefault(status, "Status");
  }

  /** A short answer in words. */
  static HttpReply words(int status, Map<String, String> headers, String text) {
    return new HttpReply(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  ByteBuffer head(String contentType) {
    StringBuilder head =
        new StringBuilder("HTTP/1.1 ")
            .append(status)
            .append(' ')
            .append(reason(status))
            .append("\r\nConnection: close\r\n");
    if (status != 204) { // which has no body, and says nothing of one
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
