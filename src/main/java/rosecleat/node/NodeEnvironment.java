package rosecleat.node;

import java.io.IOException;
import java.util.Optional;
import rosecleat.core.Counters;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.takeover.TakeoverCoordinator;

/**
 * The objects that a node shares with the surrounding process and that are created before the node.
 *
 * @param loop the only event loop of the node
 * @param takeover the peer processes of the node
 * @param persistence stores learned estimates
 * @param fleet the fleet that the process is a member of
 * @param counters the counters of the process
 * @param log the log of the process
 */
record NodeEnvironment(
    EventLoop loop,
    TakeoverCoordinator takeover,
    EstimatePersistence persistence,
    FleetParticipation fleet,
    Counters counters,
    Log log) {
  /**
   * Returns an environment without peer processes, stored estimates and fleet, and with an event
   * loop of its own.
   */
  static NodeEnvironment standalone(Log log) throws IOException {
    Counters counters = new Counters();
    return new NodeEnvironment(
        new EventLoop(log),
        TakeoverCoordinator.join(Optional.empty(), counters, log),
        new NoEstimatePersistence(),
        new NoFleet(),
        counters,
        log);
  }
}
