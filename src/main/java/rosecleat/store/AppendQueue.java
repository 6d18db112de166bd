package rosecleat.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Queue of appends that wait for the writer, bounded by their number and their size. Any thread may
 * add appends; a single thread takes them.
 */
final class AppendQueue {
  /** Size from which on a batch takes no further append (bytes). */
  private static final int MAX_BATCH_BYTES = 1 << 20;

  /** The records of one call to {@link RecordStore#append}, with their encoded size. */
  record Append(List<StoredRecord> records, long bytes, AppendCallback callback) {}

  private final ArrayBlockingQueue<Append> queue;
  private final long maxBytes;
  private final AtomicLong queuedBytes = new AtomicLong();

  AppendQueue(int maxAppends, long maxBytes) {
    this.queue = new ArrayBlockingQueue<>(maxAppends);
    this.maxBytes = maxBytes;
  }

  /** Queues records without waiting; returns false if the queue has no capacity for them. */
  boolean offer(List<StoredRecord> records, AppendCallback callback) {
    long bytes = 0;
    for (StoredRecord record : records) {
      bytes += RecordFormat.encodedLength(record);
    }
    if (queuedBytes.addAndGet(bytes) > maxBytes
        || !queue.offer(new Append(List.copyOf(records), bytes, callback))) {
      queuedBytes.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /**
   * Waits for an append and takes it together with those queued behind it; returns an empty list if
   * none arrives before the timeout.
   */
  List<Append> takeBatch(long timeoutMs) throws InterruptedException {
    Append first = queue.poll(timeoutMs, TimeUnit.MILLISECONDS);
    if (first == null) {
      return List.of();
    }
    List<Append> batch = new ArrayList<>();
    long bytes = 0;
    Append next = first;
    while (next != null) {
      batch.add(next);
      bytes += next.bytes();
      next = bytes < MAX_BATCH_BYTES ? queue.poll() : null;
    }
    queuedBytes.addAndGet(-bytes);
    return batch;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Removes all queued appends and reports the failure to their callbacks. */
  void failAll(AppendFailure failure) {
    for (Append append = queue.poll(); append != null; append = queue.poll()) {
      append.callback().completed(Optional.of(failure));
    }
  }
}
