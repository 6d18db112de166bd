package rosecleat.net;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Frees connection slots of a listener that has reached its maximum by closing connections that
 * carry no request. It closes all connections that were never used and, if that is not enough,
 * those that have been idle for longest. The target number of slots to free doubles each time the
 * maximum is reached again within {@link #DEMAND_WINDOW_NS}.
 *
 * <p>A connection that has just been accepted may be about to send its first request and is not
 * closed. A slot is therefore available again after the longest time for which bytes can be in
 * flight ({@link Connection#MAX_IN_FLIGHT_NS}), however many clients connect without sending a
 * request. All methods must be called on the event loop.
 */
final class IdleConnectionEvictor {
  /** Divisor for the upper bound of the target, which is 1 + maximum connections / 4. */
  private static final int MAX_TARGET_DIVISOR = 4;

  /**
   * If the maximum was last reached longer ago than this, the target starts again at one slot,
   * since older demand does not indicate how many slots are needed now.
   */
  private static final long DEMAND_WINDOW_NS = 1_000_000_000;

  /** Longest delay before the next attempt, since connections may become idle at any time. */
  private static final long MAX_RETRY_DELAY_NS = 20_000_000;

  /** Shortest delay before the next attempt, which bounds the CPU time that attempts take. */
  private static final long MIN_RETRY_DELAY_NS = 1_000_000;

  private int targetSlots = 1;
  private long lastDemandNs = System.nanoTime() - DEMAND_WINDOW_NS;
  private long retryDelayNs = MAX_RETRY_DELAY_NS;

  /** Records that the maximum has been reached and adjusts the number of slots to free. */
  void recordDemand(int maxConnections) {
    long now = System.nanoTime();
    targetSlots =
        now - lastDemandNs < DEMAND_WINDOW_NS
            ? Math.min(1 + maxConnections / MAX_TARGET_DIVISOR, 2 * targetSlots)
            : 1;
    lastDemandNs = now;
  }

  /**
   * Closes connections that carry no request: all that were never used and have nothing in flight,
   * and idle ones until the target is reached. Connections on which bytes may be in flight are
   * closed only if no slot can be freed otherwise. Once nothing is in flight on a connection, its
   * slot is available immediately after the close, whereas the slot of one that is closed earlier
   * remains occupied until the close can have reached its peer.
   *
   * @return whether at least one slot is or will become available
   */
  boolean evict(Collection<Connection> open) {
    retryDelayNs = MAX_RETRY_DELAY_NS;
    int freed = 0;
    int soonFreed = 0;
    List<Connection> idle = new ArrayList<>();
    for (Connection connection : List.copyOf(open)) {
      ConnectionUsage usage = connection.usage();
      if (connection.isClosed()) {
        soonFreed++;
        abortOnceNothingInFlight(connection);
      } else if (usage == ConnectionUsage.UNUSED && nothingInFlight(connection)) {
        freed++;
        close(connection);
      } else if (usage == ConnectionUsage.UNUSED) {
        soonFreed++;
        retryOnceNothingInFlight(connection);
      } else if (usage == ConnectionUsage.IDLE) {
        idle.add(connection);
      }
    }
    idle.sort(Comparator.comparingLong(Connection::lastActivityNs));
    freed += closeIdle(idle, targetSlots - freed);
    if (freed + soonFreed == 0) {
      return closeLongestIdle(idle);
    }
    return true;
  }

  /** Closes idle connections with nothing in flight, the longest idle first; returns how many. */
  private int closeIdle(List<Connection> idle, int limit) {
    int closed = 0;
    for (Connection connection : idle) {
      if (!nothingInFlight(connection)) {
        retryOnceNothingInFlight(connection);
      } else if (closed < limit) {
        close(connection);
        closed++;
      }
    }
    return closed;
  }

  /** Closes the longest idle connections although bytes may still be in flight on them. */
  private boolean closeLongestIdle(List<Connection> idle) {
    idle.subList(0, Math.min(idle.size(), targetSlots)).forEach(this::close);
    return !idle.isEmpty();
  }

  /** Returns the time after {@link #evict} at which another attempt may free more slots (us). */
  long retryDelayUs() {
    return retryDelayNs / 1_000;
  }

  private void close(Connection connection) {
    connection.closeGracefully();
    abortOnceNothingInFlight(connection);
  }

  private void abortOnceNothingInFlight(Connection connection) {
    if (connection.lingersWithNothingInFlight()) {
      connection.abort("its place is needed");
    } else {
      retryOnceNothingInFlight(connection);
    }
  }

  private static boolean nothingInFlight(Connection connection) {
    return connection.nsUntilNothingInFlight() <= 0;
  }

  private void retryOnceNothingInFlight(Connection connection) {
    long delayNs = Math.max(MIN_RETRY_DELAY_NS, connection.nsUntilNothingInFlight());
    retryDelayNs = Math.min(retryDelayNs, delayNs);
  }
}
