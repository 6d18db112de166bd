package rosecleat.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * Notices when the machine itself stands still, by a thread that sleeps for a millisecond at a
 * time: the protocol does not count such times against a node.
 */
final class PauseMeter implements AutoCloseable {
  private static final long SLEEP_MS = 1;

  /** A sleep that is longer by this much shows a pause (ns). */
  private static final long PAUSE_NS = 5_000_000;

  private record Pause(long fromNs, long toNs) {}

  private final List<Pause> pauses = new ArrayList<>();
  private final Thread thread = new Thread(this::measure, "pause meter");
  private volatile boolean stopping;

  PauseMeter() {
    thread.setDaemon(true);
    thread.start();
  }

  private void measure() {
    while (!stopping) {
      long fromNs = System.nanoTime();
      try {
        Thread.sleep(SLEEP_MS);
      } catch (InterruptedException e) {
        return;
      }
      long toNs = System.nanoTime();
      if (toNs - fromNs > PAUSE_NS) {
        synchronized (pauses) {
          pauses.add(new Pause(fromNs, toNs));
        }
      }
    }
  }

  /** How long the machine stood still between two times (ns). */
  long pausedNs(long fromNs, long toNs) {
    synchronized (pauses) {
      return pauses.stream()
          .mapToLong(
              pause -> Math.max(0, Math.min(toNs, pause.toNs) - Math.max(fromNs, pause.fromNs)))
          .sum();
    }
  }

  @Override
  public void close() {
    stopping = true;
  }
}
