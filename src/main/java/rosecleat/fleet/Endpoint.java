package rosecleat.fleet;

/** Where a process is reached: a literal host and a port. */
public record Endpoint(String host, int port) {
  private static final int MAX_HOST_LENGTH = 64;
  private static final int MAX_PORT = 0xffff;

  /** Whether it can be dialled without asking a name service. */
  boolean isUsable() {
    return port > 0
        && port <= MAX_PORT
        && !host.isEmpty()
        && host.length() <= MAX_HOST_LENGTH
        && host.chars().allMatch(Endpoint::isLiteral);
  }

  /** The characters of literal addresses; a percent sign begins a scope. */
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
