package rosecleat.store;

import java.io.IOException;
import java.util.function.Consumer;

/**
 * Runs compactions one at a time, each on a thread of its own. All methods must be called on the
 * writer's thread, which also installs the results.
 */
final class CompactionRunner {
  /** Delay between a failed compaction and the next attempt. */
  private static final long RETRY_DELAY_NS = 5_000_000_000L;

  private final StorageEngine engine;
  private final Consumer<String> events;
  private final Runnable onInstalled;
  private Thread thread; // null while no compaction runs
  private volatile Runnable outcome; // set by the compaction's thread, run by the writer's thread
  private long notBeforeNs = Long.MIN_VALUE;

  /**
   * Creates a runner.
   *
   * @param events receives a message for each failure
   * @param onInstalled called after each compaction that was installed
   */
  CompactionRunner(StorageEngine engine, Consumer<String> events, Runnable onInstalled) {
    this.engine = engine;
    this.events = events;
    this.onInstalled = onInstalled;
  }

  /** Installs the running compaction if it has finished. */
  void installFinished() {
    if (outcome != null) {
      awaitRunning();
    }
  }

  /** Starts a compaction if one is needed, none is running and the retry delay has passed. */
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
      postpone(e); // the next recovery deletes the files that remain
    }
  }

  private void postpone(Exception error) {
    notBeforeNs = System.nanoTime() + RETRY_DELAY_NS;
    events.accept("store compaction failed, will be retried: " + error.getMessage());
  }

  /** Waits for the running compaction, if any, and installs its result. */
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
