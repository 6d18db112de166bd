package rosecleat.node;

import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.routes.RouteStore;
import rosecleat.routes.RouteTable;

/**
 * The routes in force. The thread that owns the {@link RouteStore} publishes complete route tables
 * here; the event loop applies each table to its instance pools, and any thread may read the latest
 * one.
 */
final class ActiveRoutes {
  /**
   * A route table in force.
   *
   * @param table the routes
   * @param generation the number of this table's version in this process
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

  /** Puts the current table of a store in force. Called by the thread that owns the store. */
  void update(RouteStore store) {
    Snapshot fresh = new Snapshot(store.table(), store.generation());
    snapshot = fresh;
    loop.execute(() -> pools.update(fresh.table.services()));
    log.info("routes: table " + DigestText.hex(fresh.table.digest()) + " is in force");
  }

  /** Returns the table in force. May be called from any thread. */
  Snapshot snapshot() {
    return snapshot;
  }

  /** Returns the pools of the instances in force, for use on the event loop. */
  InstancePools pools() {
    return pools;
  }
}
