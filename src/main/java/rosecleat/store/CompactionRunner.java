package rosecleat.store;

import java.io.IOException;
import java.util.function.Consumer;

/**
 * Runs compactions on a thread of their own, one at a time. All methods are for the writer's
 * thread, which also installs the outcome.
 */
final class CompactionRunner {
  /** Delay after a failed compaction (ns). */
  private static final long RETRY_DELAY_NS = 5_000_000_000L;

  private final StorageEngine engine;
  private final Consumer<String> events;
  private final Runnable onInstalled;
  private Thread thread; // null while no compaction runs
  private volatile Runnable outcome; // set by the compaction's thread, run by the writer's
  private long notBeforeNs = Long.MIN_VALUE;

  /**
   * Creates a runner.
   *
   * @param events receives a line for each failure
   * @param onInstalled called after each compaction that succeeded
   */
  CompactionRunner(StorageEngine engine, Consumer<String> events, Runnable onInstalled) {
    this.engine = engine;
    this.events = events;
    this.onInstalled = onInstalled;
  }

  /** Installs a compaction that has finished. */
  void installFinished() {
    if (outcome != null) {
      awaitRunning();
    }
  }

  /** Starts a compaction where one is needed and none is running. */
  void startIfNeeded() {
    if (thread != null || !engine.needsCompaction() || System.nanoTime() < notBeforeNs) {
      return;
    }
    try {
      Compaction compaction = engine.prepareCompaction();
      thread = new Thread(() -> run(compaction), "store compaction");
      thread.setDaemon(true);
      thread.start();
    } catch (IOException e) {
      postpone(e);
    }
  }

  private void run(Compaction compaction) {
    try {
      compaction.run();
      outcome = () -> install(compaction);
    } catch (IOException | RuntimeException e) {
      outcome =
          () -> {
            engine.abandon(compaction);
            postpone(e);
          };
    }
  }

  private void install(Compaction compaction) {
    try {
      engine.install(compaction);
      onInstalled.run();
    } catch (IOException e) {
      postpone(e); // the next recovery deletes the files that are left over
    }
  }

  private void postpone(Exception error) {
    notBeforeNs = System.nanoTime() + RETRY_DELAY_NS;
    events.accept("the store could not be compacted, and is tried again: " + error.getMessage());
  }

  /** Waits for the running compaction, if any, and installs it. */
  void awaitRunning() {
    if (thread == null) {
      return;
    }
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    thread = null;
    Runnable finished = outcome;
    outcome = null;
    if (finished != null) {
      finished.run();
    }
  }
}
