package rosecleat.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A queue of updates that are sent a limited number of times each: the least transmitted first, and
 * the newest first among those transmitted equally often. A newer update of the same subject
 * replaces the older one. The queue is bounded: the most transmitted updates are dropped first.
 */
final class DisseminationQueue<T> {
  private static final int MAX_UPDATES = 8_192;

  /** The number of updates that one call may skip because they do not fit into the datagram. */
  private static final int MAX_SKIPPED = 4;

  /**
   * A lower bound of an update's size (bytes); the search for updates ends when less space is left.
   */
  private static final int MIN_UPDATE_BYTES = 24;

  private static final class QueuedUpdate<T> {
    final Object subject;
    final T update;
    final int bytes;
    final int maxTransmissions;
    int transmissions;

    /** Set on removal; the update stays in its queue until it is polled. */
    boolean removed;

    QueuedUpdate(Object subject, T update, int bytes, int maxTransmissions) {
      this.subject = subject;
      this.update = update;
      this.bytes = bytes;
      this.maxTransmissions = maxTransmissions;
    }
  }

  /** One queue for each number of transmissions so far. */
  private final List<ArrayDeque<QueuedUpdate<T>>> queues = new ArrayList<>();

  private final Map<Object, QueuedUpdate<T>> bySubject = new HashMap<>();
  private long bytes;

  /** Adds an update that takes the given number of bytes in a datagram. */
  void add(Object subject, T update, int updateBytes, int maxTransmissions) {
    remove(subject);
    QueuedUpdate<T> queued = new QueuedUpdate<>(subject, update, updateBytes, maxTransmissions);
    bySubject.put(subject, queued);
    queue(0).addFirst(queued);
    bytes += updateBytes;
    dropExcess();
  }

  private void dropExcess() {
    for (int sent = queues.size() - 1; sent >= 0; sent--) {
      ArrayDeque<QueuedUpdate<T>> queue = queues.get(sent);
      while (bySubject.size() > MAX_UPDATES && !queue.isEmpty()) {
        remove(queue.pollLast());
      }
    }
  }

  private ArrayDeque<QueuedUpdate<T>> queue(int transmissions) {
    while (queues.size() <= transmissions) {
      queues.add(new ArrayDeque<>());
    }
    return queues.get(transmissions);
  }

  /** Removes the update of a subject. */
  void remove(Object subject) {
    QueuedUpdate<T> queued = bySubject.get(subject);
    if (queued != null) {
      remove(queued);
    }
  }

  private void remove(QueuedUpdate<T> queued) {
    if (!queued.removed) {
      queued.removed = true;
      bySubject.remove(queued.subject, queued);
      bytes -= queued.bytes;
    }
  }

  /**
   * Returns the updates that fit into the given number of bytes, and counts one more transmission
   * of each.
   */
  List<T> take(int budgetBytes) {
    List<QueuedUpdate<T>> taken = new ArrayList<>();
    List<QueuedUpdate<T>> skipped = new ArrayList<>();
    int left = budgetBytes;
    for (int sent = 0; sent < queues.size(); sent++) {
      ArrayDeque<QueuedUpdate<T>> queue = queues.get(sent);
      while (!queue.isEmpty() && left >= MIN_UPDATE_BYTES && skipped.size() < MAX_SKIPPED) {
        QueuedUpdate<T> next = queue.pollFirst();
        if (next.removed) {
          continue;
        }
        if (next.bytes > left) {
          skipped.add(next);
          continue;
        }
        left -= next.bytes;
        taken.add(next);
      }
    }
    taken.forEach(this::requeueTransmitted);
    for (int i = skipped.size() - 1; i >= 0; i--) {
      queue(skipped.get(i).transmissions).addFirst(skipped.get(i));
    }
    return taken.stream().map(queued -> queued.update).toList();
  }

  private void requeueTransmitted(QueuedUpdate<T> queued) {
    queued.transmissions++;
    if (queued.transmissions < queued.maxTransmissions) {
      queue(queued.transmissions).addLast(queued);
    } else {
      remove(queued);
    }
  }

  boolean isEmpty() {
    return bySubject.isEmpty();
  }

  /** Returns the bytes of all queued updates. */
  long bytes() {
    return bytes;
  }
}
