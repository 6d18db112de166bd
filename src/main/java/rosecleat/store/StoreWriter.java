package rosecleat.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The loop of the writer's thread, which owns the {@link StorageEngine}: writes all queued appends
 * at once with one sync, backs off after failures, and starts and installs compactions.
 */
final class StoreWriter implements Runnable {
  /** Interval at which the thread checks compactions while no append is queued. */
  private static final long POLL_MS = 100;

  private static final long MIN_BACKOFF_NS = 50_000_000;
  private static final long MAX_BACKOFF_NS = 2_000_000_000;

  private final StorageEngine engine;
  private final AppendQueue queue;
  private final Consumer<String> events;
  private final Runnable onClosed;
  private final CompactionRunner compactions;
  private volatile boolean closing;
  private volatile RecordStore.Metrics metrics = RecordStore.Metrics.NONE;
  private long appends;
  private long syncs;
  private long failures;
  private long installedCompactions;
  private long longestSyncNs;
  private boolean failing;
  private long backoffNs = MIN_BACKOFF_NS;
  private long retryAtNs;

  /**
   * Creates the loop; the writer's thread has to call {@link #run}.
   *
   * @param events receives a message when writes begin to fail, when they succeed again and when a
   *     compaction fails
   * @param onClosed called when the log is closed, in order to release the lock
   */
  StoreWriter(StorageEngine engine, AppendQueue queue, Consumer<String> events, Runnable onClosed) {
    this.engine = engine;
    this.queue = queue;
    this.events = events;
    this.onClosed = onClosed;
    compactions = new CompactionRunner(engine, events, this::countCompaction);
  }

  /** Makes the loop write the queued appends and end. May be called on any thread. */
  void close() {
    closing = true;
  }

  boolean isClosing() {
    return closing;
  }

  RecordStore.Metrics metrics() {
    return metrics;
  }

  @Override
  public void run() {
    boolean running = true;
    while (running) {
      try {
        running = writeNextBatch();
      } catch (InterruptedException e) {
        closing = true; // the loop writes the queued appends and ends
      }
      if (running) {
        manageCompaction();
      }
    }
    compactions.awaitRunning();
    engine.close();
    onClosed.run();
    queue.failAll(AppendFailure.closed());
  }

  /** Waits for appends and writes them; returns false if the store is closing and none is left. */
  private boolean writeNextBatch() throws InterruptedException {
    List<AppendQueue.Append> batch = queue.takeBatch(closing ? 0 : POLL_MS);
    if (!batch.isEmpty()) {
      write(batch);
      return true;
    }
    return !closing || !queue.isEmpty();
  }

  private void write(List<AppendQueue.Append> batch) {
    long startNs = System.nanoTime();
    Optional<AppendFailure> failure =
        isBackingOff(startNs) ? Optional.of(AppendFailure.backoff()) : tryWrite(batch);
    if (failure.isEmpty()) {
      appends += batch.size();
      syncs++;
      longestSyncNs = Math.max(longestSyncNs, System.nanoTime() - startNs);
    } else {
      failures += batch.size();
    }
    publishMetrics();
    for (AppendQueue.Append append : batch) {
      append.callback().completed(failure);
    }
  }

  private boolean isBackingOff(long nowNs) {
    return failing && nowNs < retryAtNs && !closing;
  }

  private Optional<AppendFailure> tryWrite(List<AppendQueue.Append> batch) {
    List<StoredRecord> records = new ArrayList<>();
    batch.forEach(append -> records.addAll(append.records()));
    try {
      engine.write(records);
    } catch (IOException | RuntimeException e) {
      AppendFailure failure = AppendFailure.writeFailed(e);
      backOff(failure);
      return Optional.of(failure);
    }
    backoffNs = MIN_BACKOFF_NS;
    if (failing) {
      failing = false;
      events.accept("store writes succeed again");
    }
    return Optional.empty();
  }

  private void backOff(AppendFailure failure) {
    if (!failing) {
      failing = true;
      events.accept(
          "store write failed, appends fail until a later write succeeds: " + failure.message());
    }
    retryAtNs = System.nanoTime() + backoffNs;
    backoffNs = Math.min(2 * backoffNs, MAX_BACKOFF_NS);
  }

  private void manageCompaction() {
    compactions.installFinished();
    if (!closing) {
      compactions.startIfNeeded();
    }
  }

  private void countCompaction() {
    installedCompactions++;
    publishMetrics();
  }

  private void publishMetrics() {
    metrics =
        new RecordStore.Metrics(
            appends, syncs, failures, installedCompactions, engine.bytes(), longestSyncNs);
  }
}
