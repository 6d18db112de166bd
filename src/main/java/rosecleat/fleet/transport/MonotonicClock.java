package rosecleat.fleet.transport;

/** Microseconds since its creation, from 1; never goes back, whatever the time of day does. */
final class MonotonicClock {
  private final long originNs = System.nanoTime();

  long nowUs() {
    return (System.nanoTime() - originNs) / 1000 + 1;
  }
}
