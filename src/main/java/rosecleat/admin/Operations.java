package rosecleat.admin;

/** What operators may ask of a node; called on its loop, and never waits. */
public interface Operations {
  /** Whether this process can serve clients. */
  boolean ready();

  /** Sends clients away: health checks are answered as bad from now on. */
  void drain();

  /** Takes clients again. */
  void activate();

  /** What is to be seen at a path, as JSON in ASCII; null where there is nothing. */
  default String view(String path) {
    return null;
  }
}
