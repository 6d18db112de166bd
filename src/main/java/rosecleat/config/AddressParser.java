package rosecleat.config;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * Parses socket addresses of the form {@code host:port}. Hosts are IP address literals or {@code
 * localhost}; names are never resolved.
 */
final class AddressParser {
  /** Prefix of the address of a uwsgi service. */
  static final String UWSGI_SCHEME = "uwsgi://";

  private static final Pattern LITERAL_HOST =
      Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]|localhost");

  private AddressParser() {}

  /**
   * Parses an address.
   *
   * @param text the address; may be empty
   * @param key the setting that the address comes from, for error messages
   * @return the address, or null if the text is empty
   * @throws ConfigException if the text is not a valid address
   */
  static InetSocketAddress parse(String text, String key) {
    if (text.isEmpty()) {
      return null;
    }
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      String host = text.substring(0, colon);
      if (!LITERAL_HOST.matcher(host).matches()) { // there is no name service to resolve it
        throw ConfigException.invalid(
            key,
            "must be host:port, where host is an IPv4 address, an IPv6 address in brackets or"
                + " localhost, got "
                + text);
      }
      return new InetSocketAddress(host, port);
    } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
      throw ConfigException.invalid(
          key, "must be host:port with a port from 0 to 65535, got " + text);
    }
  }
}
