package rosecleat.node;

import java.io.IOException;
import java.util.Optional;
import rosecleat.config.BrokerConfig;
import rosecleat.config.FleetConfig;
import rosecleat.config.RoutesFile;
import rosecleat.core.Counters;
import rosecleat.fleet.FleetRecord;
import rosecleat.fleet.MembershipProtocol;
import rosecleat.fleet.MembershipView;
import rosecleat.fleet.transport.MembershipService;
import rosecleat.front.uwsgi.InstanceBalancer;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;

/**
 * The fleet membership of this process, and the routes that the members share. The thread of the
 * {@link MembershipService} owns the protocol and the route store; the event loop receives complete
 * route tables.
 */
final class FleetMembership implements FleetParticipation {
  /**
   * A process waits for this many protocol periods before it publishes its routes file, so that it
   * first learns what other members have published since the file was written.
   */
  private static final int PERIODS_BEFORE_PUBLISHING = 4;

  private final FleetConfig config;
  private final EventLoop loop;
  private final MembershipService service;
  private final ActiveRoutes activeRoutes;
  private final RouteReplication replication;
  // set by join() before it schedules publishFile, then accessed on the thread of the service only
  private Optional<RoutesFile> unpublished = Optional.empty();

  private FleetMembership(FleetConfig config, EventLoop loop, Counters counters, Log log)
      throws IOException {
    this.config = config;
    this.loop = loop;
    activeRoutes = new ActiveRoutes(config.zone(), loop, log);
    service = new MembershipService(serviceSettings(config), listener(counters), log);
    replication = new RouteReplication(config, service, activeRoutes, log);
  }

  /** Joins the fleet, and publishes the broker's routes if it has any. */
  static FleetMembership start(BrokerConfig broker, EventLoop loop, Counters counters, Log log)
      throws IOException {
    FleetMembership membership = new FleetMembership(broker.fleet(), loop, counters, log);
    membership.join(Optional.ofNullable(broker.routes()), log);
    return membership;
  }

  private static MembershipService.Settings serviceSettings(FleetConfig config) {
    return new MembershipService.Settings(
        config.name(),
        config.cluster(),
        config.listen(),
        config.advertise(),
        config.zone(),
        config.seeds(),
        config.periodUs());
  }

  private MembershipService.Listener listener(Counters counters) {
    return new MembershipService.Listener() {
      @Override
      public void viewChanged(MembershipView view) {}

      @Override
      public void recordChanged(FleetRecord record) {
        replication.recordChanged(record);
      }

      @Override
      public void counterIncreased(String counter, long increment) {
        loop.execute(() -> counters.add("fleet." + counter, increment));
      }
    };
  }

  private void join(Optional<RoutesFile> routes, Log log) {
    service.registerResponder(RouteReplication.EXCHANGE_KIND, () -> replication.newSession(false));
    service.start();
    log.info("fleet: " + service.view().self() + " listens at " + service.endpoint());
    service.submit(replication::publishDigests);
    if (routes.isPresent()) {
      unpublished = routes;
      long delayUs = config.seeds().isEmpty() ? 0 : PERIODS_BEFORE_PUBLISHING * config.periodUs();
      loop.schedule(delayUs, () -> service.submit(this::publishFile));
    }
    synchronizePeriodically();
  }

  /**
   * Retries synchronization that failed or was interrupted. A task that does not fit into the
   * mailbox is submitted again in the next period.
   */
  private void synchronizePeriodically() {
    loop.schedule(
        config.periodUs(),
        () -> {
          service.submit(replication::synchronize);
          synchronizePeriodically();
        });
  }

  /** Publishes the latest routes file, unless a reload has published it while this task waited. */
  private void publishFile(MembershipProtocol protocol) {
    Optional<RoutesFile> file = unpublished;
    unpublished = Optional.empty();
    if (file.isPresent()) {
      replication.publishFile(protocol, file.get());
    }
  }

  @Override
  public void reconfigure(BrokerConfig broker) {
    if (broker.routes() != null) {
      service.submit(
          protocol -> {
            unpublished = Optional.of(broker.routes());
            publishFile(protocol);
          });
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
  public void announceLeave() {
    service.submit(protocol -> protocol.leave(service.nowUs()));
  }

  @Override
  public void stop(long timeoutMs) {
    service.leaveAndStop(timeoutMs);
  }

  @Override
  public void close() {
    service.close();
  }

  @Override
  public Optional<String> view(String path) {
    return switch (path) {
      case FleetDocuments.FLEET_PATH ->
          Optional.of(FleetDocuments.fleet(service.view(), replication::digestOf));
      case FleetDocuments.ROUTES_PATH ->
          Optional.of(FleetDocuments.routes(activeRoutes.snapshot()));
      default -> Optional.empty();
    };
  }
}
