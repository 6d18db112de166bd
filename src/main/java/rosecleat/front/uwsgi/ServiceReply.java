package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a service answered, whole: its status, its headers in order, and its body. What belongs to
 * its connection alone is left out (RFC 9110, section 7.6.1). As bytes it is a request's result,
 * kept and repeated like any other.
 */
record ServiceReply(int status, List<Header> headers, byte[] body) {
  /** One header as it came. */
  record Header(String name, String value) {}

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length");

  /**
   * A service's answer without what belongs to its connection alone, as well named in {@code
   * Connection}.
   */
  static ServiceReply of(int status, List<Header> all, byte[] body) {
    Set<String> dropped = new TreeSet<>(HOP_BY_HOP);
    for (Header header : all) {
      if (header.name.equalsIgnoreCase("connection")) {
        for (String name : header.value.split(",")) {
          dropped.add(name.trim().toLowerCase(Locale.ROOT));
        }
      }
    }
    List<Header> kept =
        all.stream().filter(h -> !dropped.contains(h.name.toLowerCase(Locale.ROOT))).toList();
    return new ServiceReply(status, kept, body);
  }

  /** Whether a header is among them. */
  boolean has(String name) {
    return headers.stream().anyMatch(h -> h.name.equalsIgnoreCase(name));
  }

  /** It as a result: three digits, a line for each header, an empty line, the body. */
  byte[] result() {
    StringBuilder head = new StringBuilder().append(status).append('\n');
    headers.forEach(h -> head.append(h.name).append(':').append(h.value).append('\n'));
    byte[] first = head.append('\n').toString().getBytes(StandardCharsets.ISO_8859_1);
    return ByteBuffer.allocate(first.length + body.length).put(first).put(body).array();
  }

  /** What {@link #result} made; null where it is nothing of the kind. */
  static ServiceReply read(byte[] result) {
    List<Header> headers = new ArrayList<>();
    int status = 0;
    int from = 0;
    for (int i = 0; i < result.length; i++) {
      if (result[i] != '\n') {
        continue;
      }
      String line = new String(result, from, i - from, StandardCharsets.ISO_8859_1);
      from = i + 1;
      if (status == 0) {
        if (!line.matches("[1-9][0-9]{2}")) {
          return null;
        }
        status = Integer.parseInt(line);
      } else if (line.isEmpty()) {
        return new ServiceReply(
            status, List.copyOf(headers), Arrays.copyOfRange(result, from, result.length));
      } else {
        int colon = line.indexOf(':');
        if (colon < 1) {
          return null;
        }
        headers.add(new Header(line.substring(0, colon), line.substring(colon + 1)));
      }
    }
    return null;
  }

  /** The head of the response to a caller; a service that named no type has the described one. */
  ByteBuffer head(String contentType) {
    StringBuilder head =
        new StringBuilder("HTTP/1.1 ")
            .append(status)
            .append(' ')
            .append(HttpReply.reason(status))
            .append("\r\n");
    headers.forEach(h -> head.append(h.name).append(": ").append(h.value).append("\r\n"));
    if (body.length > 0 && !has("content-type")) {
      head.append("Content-Type: ").append(contentType).append("\r\n");
    }
    if (status != 204 && status != 304) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    return ByteBuffer.wrap(
        head.append("Connection: close\r\n\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
  }
}
