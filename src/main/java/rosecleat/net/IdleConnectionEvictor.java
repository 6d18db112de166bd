package rosecleat.net;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Frees places for new connections at a listener that has reached its maximum, by closing
 * connections that carry nothing: first those that were never used, then the longest idle. How many
 * places it aims at doubles while they are taken again as fast as they are freed.
 *
 * <p>A connection that was never used and is young may be about to send its first request, and
 * stays. For the loop alone.
 */
final class IdleConnectionEvictor {
  /** At most one in so many of all places is aimed at. */
  private static final int MAX_TARGET_DIVISOR = 4;

  /** Demand longer ago than this says nothing of how many places are needed now. */
  private static final long DEMAND_WINDOW_NS = 1_000_000_000;

  private int targetPlaces = 1;
  private long lastDemandNs = System.nanoTime() - DEMAND_WINDOW_NS;

  /** Records that the maximum was reached, and adapts the number of places to free. */
  void recordDemand(int maxConnections) {
    long now = System.nanoTime();
    targetPlaces =
        now - lastDemandNs < DEMAND_WINDOW_NS
            ? Math.min(1 + maxConnections / MAX_TARGET_DIVISOR, 2 * targetPlaces)
            : 1;
    lastDemandNs = now;
  }

  /**
   * Closes connections that carry nothing until the target is met, counting those that are ending
   * already. Idle connections are closed gracefully: their places are free once they have ended.
   *
   * @return whether a place will be free
   */
  boolean evict(Collection<Connection> open) {
    long now = System.nanoTime();
    int ending = 0;
    List<Connection> candidates = new ArrayList<>();
    Set<Connection> unused = new HashSet<>();
    for (Connection connection : List.copyOf(open)) {
      if (connection.isClosed()) {
        ending++;
        abortIfLingering(connection);
        continue;
      }
      ConnectionUsage usage = connection.usage();
      if (usage == ConnectionUsage.UNUSED
          && now - connection.lastActivityNs() > Connection.MAX_IN_FLIGHT_NS) {
        unused.add(connection);
        candidates.add(connection);
      } else if (usage == ConnectionUsage.IDLE) {
        candidates.add(connection);
      }
    }
    candidates.sort(
        Comparator.<Connection, Boolean>comparing(connection -> !unused.contains(connection))
            .thenComparingLong(Connection::lastActivityNs));
    int count = Math.max(0, Math.min(candidates.size(), targetPlaces - ending));
    for (Connection connection : candidates.subList(0, count)) {
      connection.closeGracefully();
      abortIfLingering(connection);
    }
    return ending > 0 || count > 0;
  }

  private static void abortIfLingering(Connection connection) {
    if (connection.lingersWithNothingInFlight()) {
      connection.abort("its place is needed");
    }
  }
}
