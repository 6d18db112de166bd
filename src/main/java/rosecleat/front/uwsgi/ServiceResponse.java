package rosecleat.front.uwsgi;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * The complete response of a service, which the broker passes on to the client.
 *
 * @param status the HTTP status
 * @param headers the end-to-end headers, in the order in which they were received
 * @param body the body
 */
record ServiceResponse(int status, List<Header> headers, byte[] body) {
  /** One header as it was received. */
  record Header(String name, String value) {}

  /** Headers that apply to one connection only and are not forwarded (RFC 9110, section 7.6.1). */
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

  /**
   * Returns whether responses with a status have no body, whatever their headers state (RFC 9110,
   * section 6.4.1).
   */
  static boolean isBodiless(int status) {
    return status == 204 || status == 304;
  }

  /**
   * Encodes the status line and the headers, which precede the body.
   *
   * @param defaultContentType the content type of the body if the service sent no content type
   */
  ByteBuffer encodeHead(String defaultContentType) {
    ResponseHead head = new ResponseHead(status);
    for (Header header : headers) {
      head.header(header.name, header.value);
    }
    if (body.length > 0 && !hasHeader("content-type")) {
      head.header("Content-Type", defaultContentType);
    }
    if (!isBodiless(status)) {
      head.contentLength(body.length);
    }
    return head.header("Connection", "close").encode();
  }

  private boolean hasHeader(String name) {
    return headers.stream().anyMatch(header -> header.name.equalsIgnoreCase(name));
  }
}
