package rosecleat.node;

import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.routes.RouteStore;
import rosecleat.routes.RouteTable;

/**
 * The routes in force. The owner of a {@link RouteStore} updates them on its own thread; the event
 * loop gets whole tables, and any thread may read the last one.
 */
final class ActiveRoutes {
  /**
   * A table in force.
   *
   * @param table the routes
   * @param generation the number of the table in this process
   */
  record Snapshot(RouteTable table, long generation) {}

  private final InstancePools pools;
  private final EventLoop loop;
  private final Log log;
  private volatile Snapshot snapshot = new Snapshot(RouteTable.EMPTY, 0);

  ActiveRoutes(String zone, EventLoop loop, Log log) {
    pools = new InstancePools(zone);
    this.loop = loop;
    this.log = log;
  }

  /** Puts the table of a store in force; for the owner of that store. */
  void update(RouteStore store) {
    Snapshot fresh = new Snapshot(store.table(), store.generation());
    snapshot = fresh;
    loop.execute(() -> pools.update(fresh.table.services()));
    log.info("routes: " + DigestText.hex(fresh.table.digest()) + " is in force");
  }

  /** Returns the table in force; for any thread. */
  Snapshot snapshot() {
    return snapshot;
  }

  /** Returns the instances in force, for the event loop. */
  InstancePools pools() {
    return pools;
  }
}
