package rosecleat.net;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A bound on the output that clients have not read, as a sum over the connections that share it.
 * Input of a connection waits while its unread output is large for what is left, so that a client
 * that sends without reading costs itself. Where a connection needs more than is left, those are
 * closed whose output has occupied most memory for longest. All methods must be called on the event
 * loop.
 */
public final class OutputMemory {
  /** Share of the free memory that the unread output of one connection may reach. */
  private static final int FREE_SHARE_DIVISOR = 8;

  /** No bound, for connections that share no memory; keeps no state, so that loops may share it. */
  static final OutputMemory UNLIMITED = new OutputMemory(Long.MAX_VALUE);

  private final long limitBytes;
  private final Set<WriteQueue> unread = new LinkedHashSet<>();
  private long queuedBytes;

  /** Creates a bound of {@code limitBytes}. */
  public OutputMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns the most bytes that all connections may have queued. */
  public long limitBytes() {
    return limitBytes;
  }

  /** Returns the bytes that all connections have queued. */
  public long queuedBytes() {
    return queuedBytes;
  }

  /** Returns whether the unread output of a connection is large for what is left. */
  boolean isScarceFor(int queuedByConnection) {
    return this != UNLIMITED
        && queuedByConnection > (limitBytes - queuedBytes) / FREE_SHARE_DIVISOR;
  }

  /**
   * Makes room for output, if necessary by closing connections that do not read. The connection
   * that asks may be among them.
   *
   * @return whether there is room
   */
  boolean makeRoom(int bytes) {
    while (this != UNLIMITED && queuedBytes + bytes > limitBytes) {
      long nowNs = System.nanoTime();
      Optional<WriteQueue> worst =
          unread.stream().max(Comparator.comparingDouble(each -> each.unreadByteTime(nowNs)));
      if (worst.isEmpty()) {
        return false;
      }
      worst.get().closeConnection();
    }
    return true;
  }

  void added(WriteQueue queue, int bytes) {
    if (this != UNLIMITED) {
      queuedBytes += bytes;
      unread.add(queue);
    }
  }

  void removed(WriteQueue queue, int bytes, boolean isEmpty) {
    if (this == UNLIMITED) {
      return;
    }
    queuedBytes -= bytes;
    if (isEmpty) {
      unread.remove(queue);
    }
  }
}
