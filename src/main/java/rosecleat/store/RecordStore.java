package rosecleat.store;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A durable log of records with snapshots, open for writing. Appends are queued for one writer
 * thread, which writes all that wait in one go with one sync; callers never wait for the disk. The
 * queue is bounded. While the disk fails, appends fail too, and writing is tried again after a
 * pause. For any thread.
 */
public final class RecordStore implements AutoCloseable {
  private static final long DEFAULT_CLOSE_TIMEOUT_MS = 5_000;

  /**
   * Bounds of a store.
   *
   * @param maxBytes size of all files together
   * @param maxQueuedAppends number of appends that wait for the disk
   * @param maxQueuedBytes size of the appends that wait for the disk
   */
  public record Limits(long maxBytes, int maxQueuedAppends, long maxQueuedBytes) {}

  /**
   * Counts since the store was opened.
   *
   * @param appends appends that became durable
   * @param syncs writes with a sync
   * @param failures appends that failed
   * @param compactions compactions that succeeded
   * @param bytes size of the files after the last write, 0 before the first
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
   * Recovers a directory and opens it for writing. Blocks on the disk.
   *
   * @param events receives a line for each change of the store's state, on any thread
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
   * Recovers a directory without locking or changing it; fails where a writer deleted files in the
   * meantime. Blocks on the disk.
   */
  public static RecoveryReport inspect(Directory directory, StateMachineFactory factory)
      throws IOException {
    return Recovery.run(directory, factory);
  }

  /** Compacts a directory that nobody writes to. Blocks until that is done. */
  public static OpenResult compact(
      Directory directory, StateMachineFactory factory, long maxBytes) {
    Optional<AutoCloseable> lock = Optional.empty();
    try {
      RecoveryReport before = Recovery.run(directory, factory);
      if (before.isNewStore()) {
        return new OpenResult.Compacted(before); // do not create a store
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
      return; // the lock ends with the process
    }
  }

  /**
   * Queues records for writing, in the order of the calls. Each record becomes durable completely
   * or not at all; of several records in one call, the first may survive a crash without the rest.
   * Does not wait. Throws {@link IllegalArgumentException} for a record of a reserved type.
   */
  public AppendResult append(List<StoredRecord> records, AppendCallback callback) {
    if (writer.isClosing()) {
      return AppendResult.CLOSED;
    }
    for (StoredRecord record : records) {
      if (!record.isApplicationRecord()) {
        throw new IllegalArgumentException("type " + record.type() + " is the store's own");
      }
    }
    if (!queue.offer(records, callback)) {
      return AppendResult.FULL;
    }
    if (isClosed()) {
      queue.failAll(AppendFailure.closed()); // the writer ended in the meantime
    }
    return AppendResult.QUEUED;
  }

  /** Returns the counts so far. */
  public Metrics metrics() {
    return writer.metrics();
  }

  /** Whether the writer has ended and the lock is released. */
  public boolean isClosed() {
    return !writerThread.isAlive();
  }

  /** Accepts no more appends; the writer writes what is queued and ends. Does not wait. */
  public void beginClose() {
    writer.close();
  }

  /**
   * Closes the store and waits for the writer.
   *
   * @param timeoutMs how long to wait (ms)
   * @return whether all is written and the lock is released
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
