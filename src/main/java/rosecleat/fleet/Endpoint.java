package rosecleat.fleet;

/** Where a process is reached: a literal host and a port. */
public record Endpoint(String host, int port) {
  private static final int LONGEST = 64;

  /** Whether it can be dialled without asking a name service. */
  boolean usable() {
    return port > 0
        && port <= 0xffff
        && !host.isEmpty()
        && host.length() <= LONGEST
        && host.chars()
            .allMatch(
                c ->
                    c >= '0' && c <= '9'
                        || c == '.'
                        || c == ':'
                        || c >= 'a' && c <= 'f'
                        || c == '%');
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
