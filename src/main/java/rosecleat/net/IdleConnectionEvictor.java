package rosecleat.net;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Frees places for new connections at a listener that has reached its maximum, by closing
 * connections that carry nothing: all that were never used, and where those are not enough, the
 * longest idle. How many idle ones it aims at doubles while places are taken again as fast as they
 * are freed.
 *
 * <p>A connection that was never used and is young may be about to send its first request, and
 * stays. So each place is free again after the time in which bytes can be in flight ({@link
 * Connection#MAX_IN_FLIGHT_NS}), however many silent clients take it. For the loop alone.
 */
final class IdleConnectionEvictor {
  /** At most one in so many of all places is aimed at. */
  private static final int MAX_TARGET_DIVISOR = 4;

  /** Demand longer ago than this says nothing of how many places are needed now. */
  private static final long DEMAND_WINDOW_NS = 1_000_000_000;

  /** The longest time to the next attempt: connections become idle at any time (ns). */
  private static final long MAX_RETRY_DELAY_NS = 20_000_000;

  /** The shortest time to the next attempt, which bounds what attempts cost (ns). */
  private static final long MIN_RETRY_DELAY_NS = 1_000_000;

  private int targetSlots = 1;
  private long lastDemandNs = System.nanoTime() - DEMAND_WINDOW_NS;
  private long retryDelayNs = MAX_RETRY_DELAY_NS;

  /** Records that the maximum was reached, and adapts the number of places to free. */
  void recordDemand(int maxConnections) {
    long now = System.nanoTime();
    targetSlots =
        now - lastDemandNs < DEMAND_WINDOW_NS
            ? Math.min(1 + maxConnections / MAX_TARGET_DIVISOR, 2 * targetSlots)
            : 1;
    lastDemandNs = now;
  }

  /**
   * Closes connections that carry nothing: every one that was never used and is not young, and idle
   * ones until the target is met. Those of which bytes may be in flight are left alone while others
   * will do: once they have been quiet, their places are free at once, while a place of one that is
   * closed earlier stays taken until its peer can have learned of that.
   *
   * @return whether a place will be free
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

  /** Closes quiet connections, the longest idle first; returns how many. */
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

  /** All are in use, or have been until a moment ago. */
  private boolean closeLongestIdle(List<Connection> idle) {
    idle.subList(0, Math.min(idle.size(), targetSlots)).forEach(this::close);
    return !idle.isEmpty();
  }

  /** How long after {@link #evict} the next attempt may free more places (us). */
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
