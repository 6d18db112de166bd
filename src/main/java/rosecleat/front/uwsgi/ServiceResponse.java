package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * The complete response of a service, which is passed on to the client.
 *
 * @param status the HTTP status
 * @param headers the end-to-end headers, in the order in which they came
 * @param body the body
 */
record ServiceResponse(int status, List<Header> headers, byte[] body) {
  /** One header as it came. */
  record Header(String name, String value) {}

  /** Headers about one connection alone, which are not passed on (RFC 9110, section 7.6.1). */
  private static final Set<String> HOP_BY_HOP_HEADERS =
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
   * Creates a response without the hop-by-hop headers: the well-known ones and those that a {@code
   * Connection} header lists.
   */
  static ServiceResponse endToEnd(int status, List<Header> headers, byte[] body) {
    Set<String> dropped = new TreeSet<>(HOP_BY_HOP_HEADERS);
    for (Header header : headers) {
      if (header.name.equalsIgnoreCase("connection")) {
        for (String name : header.value.split(",")) {
          dropped.add(name.trim().toLowerCase(Locale.ROOT));
        }
      }
    }
    List<Header> endToEndHeaders =
        headers.stream()
            .filter(header -> !dropped.contains(header.name.toLowerCase(Locale.ROOT)))
            .toList();
    return new ServiceResponse(status, endToEndHeaders, body);
  }

  /** Whether a status has no body, whatever its headers say (RFC 9110, section 6.4.1). */
  static boolean isBodiless(int status) {
    return status == 204 || status == 304;
  }

  /**
   * Encodes everything before the body.
   *
   * @param defaultContentType the content type of a body for which the service named none
   */
  ByteBuffer encodeHead(String defaultContentType) {
    StringBuilder head =
        new StringBuilder("HTTP/1.1 ")
            .append(status)
            .append(' ')
            .append(ReasonPhrases.of(status))
            .append("\r\n");
    headers.forEach(
        header -> head.append(header.name).append(": ").append(header.value).append("\r\n"));
    if (body.length > 0 && !hasHeader("content-type")) {
      head.append("Content-Type: ").append(defaultContentType).append("\r\n");
    }
    if (!isBodiless(status)) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    return ByteBuffer.wrap(
        head.append("Connection: close\r\n\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
  }

  private boolean hasHeader(String name) {
    return headers.stream().anyMatch(header -> header.name.equalsIgnoreCase(name));
  }
}
