package rosecleat.node;

import java.util.Optional;
import rosecleat.config.BrokerConfig;
import rosecleat.front.uwsgi.InstanceBalancer;

/**
 * The participation of a process without fleet and routes: there are no other members and no
 * instances of services.
 */
final class NoFleet implements FleetParticipation {
  @Override
  public InstanceBalancer balancer() {
    return InstanceBalancer.NONE;
  }

  @Override
  public int instanceCapacity() {
    return 0;
  }

  @Override
  public void onCapacityChange(Runnable task) {}

  @Override
  public void reconfigure(BrokerConfig broker) {}

  @Override
  public void announceLeave() {}

  @Override
  public void stop(long timeoutMs) {}

  @Override
  public void close() {}

  @Override
  public Optional<String> view(String path) {
    return Optional.empty();
  }
}
