package rosecleat.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * Detects pauses of the whole machine with a thread that repeatedly sleeps for a millisecond. By
 * the protocol such pauses do not count against a node.
 */
final class PauseMeter implements AutoCloseable {
  private static final long SLEEP_MS = 1;

  /** A sleep that takes longer than this shows a pause of the machine (ns). */
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

  /** Returns how long the machine paused between two times (ns). */
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
