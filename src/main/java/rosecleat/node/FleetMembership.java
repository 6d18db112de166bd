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
 * The membership of a process in a fleet, with the routes that its members share. The protocol and
 * the store of routes belong to the thread of the {@link MembershipService}; the event loop gets
 * whole tables.
 */
final class FleetMembership implements FleetParticipation {
  /**
   * An author waits this many periods to learn what others published since its file was written.
   */
  private static final int PERIODS_BEFORE_PUBLISHING = 4;

  private final FleetConfig config;
  private final EventLoop loop;
  private final MembershipService service;
  private final ActiveRoutes activeRoutes;
  private final RouteReplication replication;
  private Optional<RoutesFile> unpublished = Optional.empty(); // for the service's thread

  private FleetMembership(FleetConfig config, EventLoop loop, Counters counters, Log log)
      throws IOException {
    this.config = config;
    this.loop = loop;
    activeRoutes = new ActiveRoutes(config.zone(), loop, log);
    service = new MembershipService(serviceSettings(config), listener(counters), log);
    replication = new RouteReplication(config, service, activeRoutes, log);
  }

  /** Joins the fleet, and publishes the broker's routes where it has any. */
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

  /** Repeats what was missed or broke off; where the mailbox is full, the next period does. */
  private void synchronizePeriodically() {
    loop.schedule(
        config.periodUs(),
        () -> {
          service.submit(replication::synchronize);
          synchronizePeriodically();
        });
  }

  /** Publishes the last file, unless a reload has done so while this waited. */
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
