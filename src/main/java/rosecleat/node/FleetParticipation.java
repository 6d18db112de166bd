package rosecleat.node;

import java.io.IOException;
import java.util.Optional;
import rosecleat.config.BrokerConfig;
import rosecleat.core.Counters;
import rosecleat.front.uwsgi.InstanceBalancer;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;

/**
 * The part of a process in its fleet: membership, and routes to the instances of services. The
 * implementing classes are loaded only if the broker's file has a section {@code fleet} or {@code
 * routes}, since the platform forbids communication between nodes. For use on the event loop,
 * except for {@link #view}, {@link #stop} and {@link #close}, which may be called from any thread.
 */
interface FleetParticipation {
  /** Starts the fleet membership or the file routes that the broker's file configures, if any. */
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

  /** Returns the balancer that distributes requests among the instances in force. */
  InstanceBalancer balancer();

  /** Returns the total number of requests that the instances in force process concurrently. */
  int instanceCapacity();

  /** Runs a task immediately and whenever the total capacity of the instances may have changed. */
  void onCapacityChange(Runnable task);

  /** Publishes the routes of a changed configuration. */
  void reconfigure(BrokerConfig broker);

  /** Announces to the fleet that this member is about to leave while it still serves requests. */
  void announceLeave();

  /** Leaves the fleet, and waits at most {@code timeoutMs} milliseconds for the departure. */
  void stop(long timeoutMs);

  /** Stops the membership without announcing a departure. */
  void close();

  /** Returns the JSON document at a path of the admin server; empty if there is none. */
  Optional<String> view(String path);
}
