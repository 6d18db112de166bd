package rosecleat.node;

import java.util.Optional;
import rosecleat.config.BrokerConfig;
import rosecleat.config.RoutesFile;
import rosecleat.front.uwsgi.InstanceBalancer;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.routes.RouteStore;

/** The routes of a process that is not a fleet member: only those of its own routes file. */
final class FileRoutes implements FleetParticipation {
  /** Outside a fleet this process is the only publisher, so its routes need no author. */
  private static final String AUTHOR = "";

  private static final String NO_ZONE = "";

  private final RouteStore store = new RouteStore();
  private final ActiveRoutes activeRoutes;

  private FileRoutes(EventLoop loop, Log log) {
    activeRoutes = new ActiveRoutes(NO_ZONE, loop, log);
  }

  /** Puts the routes of a file in force. */
  static FileRoutes start(RoutesFile file, EventLoop loop, Log log) {
    FileRoutes routes = new FileRoutes(loop, log);
    routes.publish(file);
    return routes;
  }

  private void publish(RoutesFile file) {
    if (store.publish(AUTHOR, RouteEntries.of(file))) {
      activeRoutes.update(store);
    }
  }

  @Override
  public void reconfigure(BrokerConfig broker) {
    if (broker.routes() != null) {
      publish(broker.routes());
    }
  }

  @Override
  public InstanceBalancer balancer() {
    return activeRoutes.pools();
  }

  @Override
  public int instanceCapacity() {
    return activeRoutes.pools().capacity();
  }

  @Override
  public void onCapacityChange(Runnable task) {
    activeRoutes.pools().onCapacityChange(task);
  }

  @Override
  public void announceLeave() {}

  @Override
  public void stop(long timeoutMs) {}

  @Override
  public void close() {}

  @Override
  public Optional<String> view(String path) {
    return path.equals(FleetDocuments.ROUTES_PATH)
        ? Optional.of(FleetDocuments.routes(activeRoutes.snapshot()))
        : Optional.empty();
  }
}
