package rosecleat.node;

import java.io.IOException;
import java.util.Optional;
import rosecleat.config.BrokerConfig;
import rosecleat.core.Counters;
import rosecleat.front.uwsgi.InstanceBalancer;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;

/**
 * What a process shares with its fleet: membership and routes to instances of services. The classes
 * behind it are loaded only where the broker's file has a section {@code fleet} or {@code routes},
 * since the platform forbids talk among nodes. For the event loop, except for {@link #view}, {@link
 * #stop} and {@link #close}, which any thread may call.
 */
interface FleetParticipation {
  /** Starts to take part in what the broker's file says, if anything. */
  static FleetParticipation start(
      Optional<BrokerConfig> broker, EventLoop loop, Counters counters, Log log)
      throws IOException {
    if (broker.isEmpty()) {
      return new NoFleet();
    }
    if (broker.get().fleet() != null) {
      return FleetMembership.start(broker.get(), loop, counters, log);
    }
    return broker.get().routes() == null
        ? new NoFleet()
        : FileRoutes.start(broker.get().routes(), loop, log);
  }

  /** Returns the balancer over the instances in force. */
  InstanceBalancer balancer();

  /** Returns how many requests all instances in force work on at once. */
  int instanceCapacity();

  /** Runs a task now and whenever the capacity of the instances may have changed. */
  void onCapacityChange(Runnable task);

  /** Publishes the routes of a changed configuration. */
  void reconfigure(BrokerConfig broker);

  /** Tells the fleet that this member is about to leave, while it still serves. */
  void announceLeave();

  /** Leaves the fleet, and waits for that at most this long (ms). */
  void stop(long timeoutMs);

  /** Ends at once. */
  void close();

  /** Returns the document at a path of the admin server as JSON; empty where there is none. */
  Optional<String> view(String path);
}
