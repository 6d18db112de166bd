package rosecleat.fleet.transport;

/**
 * A clock of microseconds since its creation, starting at 1; never goes back when the time of day
 * changes.
 */
final class MonotonicClock {
  private final long originNs = System.nanoTime();

  long nowUs() {
    return (System.nanoTime() - originNs) / 1000 + 1;
  }
}
