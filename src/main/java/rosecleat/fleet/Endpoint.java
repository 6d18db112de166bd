package rosecleat.fleet;

/** The address of a process: a literal IP address and a port. */
public record Endpoint(String host, int port) {
  private static final int MAX_HOST_LENGTH = 64;
  private static final int MAX_PORT = 0xffff;

  /**
   * Returns whether the endpoint is valid and can be connected to without a name service lookup.
   */
  boolean isUsable() {
    return port > 0
        && port <= MAX_PORT
        && !host.isEmpty()
        && host.length() <= MAX_HOST_LENGTH
        && host.chars().allMatch(Endpoint::isLiteral);
  }

  /** Accepts the characters of literal addresses; a percent sign begins a scope. */
  private static boolean isLiteral(int character) {
    return (character >= '0' && character <= '9')
        || (character >= 'a' && character <= 'f')
        || character == '.'
        || character == ':'
        || character == '%';
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
