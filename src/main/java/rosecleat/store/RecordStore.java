package rosecleat.store;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A durable log of records with snapshots, open for writing. Appends wait in a bounded queue for a
 * single writer thread, which writes all queued appends at once and syncs them together; callers
 * never wait for the disk. While the disk fails, appends fail too; the writer tries again after a
 * delay. Thread-safe.
 */
public final class RecordStore implements AutoCloseable {
  private static final long DEFAULT_CLOSE_TIMEOUT_MS = 5_000;

  /**
   * Limits of a store.
   *
   * @param maxBytes total size of all files
   * @param maxQueuedAppends number of queued appends
   * @param maxQueuedBytes total encoded size of the queued appends
   */
  public record Limits(long maxBytes, int maxQueuedAppends, long maxQueuedBytes) {}

  /**
   * Statistics since the store was opened.
   *
   * @param appends number of appends that became durable
   * @param syncs number of writes, each with one sync, that succeeded
   * @param failures number of appends that failed
   * @param compactions number of compactions that succeeded
   * @param bytes total size of the files after the last write or compaction, 0 before the first
   * @param longestSyncNs longest duration of a write with its sync (ns)
   */
  public record Metrics(
      long appends, long syncs, long failures, long compactions, long bytes, long longestSyncNs) {
    static final Metrics NONE = new Metrics(0, 0, 0, 0, 0, 0);
  }

  private final AppendQueue queue;
  private final StoreWriter writer;
  private final Thread writerThread;

  private RecordStore(
      StorageEngine engine, AutoCloseable lock, Limits limits, Consumer<String> events) {
    queue = new AppendQueue(limits.maxQueuedAppends(), limits.maxQueuedBytes());
    writer = new StoreWriter(engine, queue, events, () -> unlock(lock));
    writerThread = new Thread(writer, "store");
    writerThread.setDaemon(true);
    writerThread.start();
  }

  /**
   * Recovers a directory and opens it for writing. Blocks on disk access.
   *
   * @param events receives a message when writes begin to fail, when they succeed again and when a
   *     compaction fails, on any thread
   */
  public static OpenResult open(
      Directory directory, StateMachineFactory factory, Limits limits, Consumer<String> events) {
    Optional<AutoCloseable> lock = Optional.empty();
    try {
      lock = directory.tryLock(FileNames.LOCK);
      if (lock.isEmpty()) {
        return new OpenResult.Locked();
      }
      RecoveryReport recovered = Recovery.run(directory, factory);
      if (recovered.unsupportedFormat().isPresent()) {
        unlock(lock.get());
        return new OpenResult.Incompatible(recovered.unsupportedFormat().get());
      }
      StorageEngine engine = new StorageEngine(directory, factory, limits.maxBytes(), recovered);
      return new OpenResult.Opened(new RecordStore(engine, lock.get(), limits, events), recovered);
    } catch (IOException | RuntimeException e) {
      lock.ifPresent(RecordStore::unlock);
      return new OpenResult.Failed(e);
    }
  }

  /**
   * Recovers the state of a directory without locking or changing it. Fails if a writer deletes
   * files during the recovery. Blocks on disk access.
   */
  public static RecoveryReport inspect(Directory directory, StateMachineFactory factory)
      throws IOException {
    return Recovery.run(directory, factory);
  }

  /** Compacts a directory that no store is writing to. Blocks until the compaction is complete. */
  public static OpenResult compact(
      Directory directory, StateMachineFactory factory, long maxBytes) {
    Optional<AutoCloseable> lock = Optional.empty();
    try {
      RecoveryReport before = Recovery.run(directory, factory);
      if (before.isNewStore()) {
        return new OpenResult.Compacted(before); // compaction must not create a store
      }
      lock = directory.tryLock(FileNames.LOCK);
      if (lock.isEmpty()) {
        return new OpenResult.Locked();
      }
      return compactLocked(directory, factory, maxBytes);
    } catch (IOException | RuntimeException e) {
      return new OpenResult.Failed(e);
    } finally {
      lock.ifPresent(RecordStore::unlock);
    }
  }

  private static OpenResult compactLocked(
      Directory directory, StateMachineFactory factory, long maxBytes) throws IOException {
    RecoveryReport recovered = Recovery.run(directory, factory);
    if (recovered.unsupportedFormat().isPresent()) {
      return new OpenResult.Incompatible(recovered.unsupportedFormat().get());
    }
    try (StorageEngine engine = new StorageEngine(directory, factory, maxBytes, recovered)) {
      Compaction compaction = engine.prepareCompaction();
      compaction.run();
      engine.install(compaction);
    }
    return new OpenResult.Compacted(recovered);
  }

  private static void unlock(AutoCloseable lock) {
    try {
      lock.close();
    } catch (Exception e) {
      return; // the operating system releases the lock when the process ends
    }
  }

  /**
   * Queues records for writing, in the order of the calls, without waiting. Each record becomes
   * durable completely or not at all; after a crash, the first records of one call may have
   * survived without the rest. Throws {@link IllegalArgumentException} for a record of a reserved
   * type.
   */
  public AppendResult append(List<StoredRecord> records, AppendCallback callback) {
    if (writer.isClosing()) {
      return AppendResult.CLOSED;
    }
    for (StoredRecord record : records) {
      if (!record.isApplicationRecord()) {
        throw new IllegalArgumentException(
            "record type "
                + record.type()
                + " is reserved for the store, application types are 0 to "
                + StoredRecord.MAX_APPLICATION_TYPE);
      }
    }
    if (!queue.offer(records, callback)) {
      return AppendResult.FULL;
    }
    if (isClosed()) {
      queue.failAll(AppendFailure.closed()); // the writer thread ended after the check above
    }
    return AppendResult.QUEUED;
  }

  /** Returns the statistics so far. */
  public Metrics metrics() {
    return writer.metrics();
  }

  /** Returns whether the writer thread has ended and released the lock. */
  public boolean isClosed() {
    return !writerThread.isAlive();
  }

  /** Rejects further appends; the writer thread writes the queued ones and ends. Does not wait. */
  public void beginClose() {
    writer.close();
  }

  /**
   * Closes the store and waits for the writer thread to end.
   *
   * @param timeoutMs how long to wait (ms)
   * @return whether the writer thread has ended and released the lock
   */
  public boolean close(long timeoutMs) {
    beginClose();
    try {
      writerThread.join(Math.max(1, timeoutMs));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return isClosed();
  }

  @Override
  public void close() {
    close(DEFAULT_CLOSE_TIMEOUT_MS);
  }
}
