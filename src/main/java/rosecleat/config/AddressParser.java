package rosecleat.config;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Parses socket addresses of the form {@code host:port}; hosts are literal, never looked up. */
final class AddressParser {
  /** What stands before the address of a uwsgi service. */
  static final String UWSGI_SCHEME = "uwsgi://";

  private static final Pattern LITERAL_HOST =
      Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]|localhost");

  private AddressParser() {}

  /**
   * Parses an address.
   *
   * @param text the address; empty for none
   * @param key the setting that holds it, for the error
   * @return the address; null where the text is empty
   * @throws ConfigException where the text is no address
   */
  static InetSocketAddress parse(String text, String key) {
    if (text.isEmpty()) {
      return null;
    }
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      String host = text.substring(0, colon);
      if (!LITERAL_HOST.matcher(host).matches()) { // there is no name service
        throw ConfigException.invalid(key, "is not a literal address: " + text);
      }
      return new InetSocketAddress(host, port);
    } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
      throw ConfigException.invalid(key, "is not host:port: " + text);
    }
  }
}
