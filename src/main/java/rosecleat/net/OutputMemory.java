package rosecleat.net;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A bound on the output that clients have not read, as a sum over the connections that share it.
 * Where a connection needs more than is left, those whose peers have accepted no byte for longest
 * are closed, until there is enough. All methods must be called on the event loop.
 */
public final class OutputMemory {
  private final long limitBytes;
  private final Set<Connection> unread = new LinkedHashSet<>();
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

  /**
   * Makes room for output, if necessary by closing connections that do not read. The connection
   * that asks may be among them.
   *
   * @return whether there is room
   */
  boolean makeRoom(int bytes) {
    while (queuedBytes + bytes > limitBytes) {
      Optional<Connection> stalled =
          unread.stream().min(Comparator.comparingLong(Connection::lastWriteProgressNs));
      if (stalled.isEmpty()) {
        return false;
      }
      stalled.get().closeForUnreadOutput();
    }
    return true;
  }

  void added(Connection connection, int bytes) {
    queuedBytes += bytes;
    unread.add(connection);
  }

  void removed(Connection connection, int bytes, boolean isEmpty) {
    queuedBytes -= bytes;
    if (isEmpty) {
      unread.remove(connection);
    }
  }
}
