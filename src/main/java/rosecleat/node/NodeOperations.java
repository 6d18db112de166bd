package rosecleat.node;

import java.util.Optional;
import rosecleat.admin.AdminOperations;
import rosecleat.takeover.TakeoverCoordinator;

/**
 * The operations that operators request through the admin server, which listens before the node is
 * built. For use on the event loop.
 */
final class NodeOperations implements AdminOperations {
  private final TakeoverCoordinator takeover;
  private final FleetParticipation fleet;
  private Optional<Node> node = Optional.empty();

  NodeOperations(TakeoverCoordinator takeover, FleetParticipation fleet) {
    this.takeover = takeover;
    this.fleet = fleet;
  }

  /**
   * Passes operations to a node from now on. The node learns of earlier operations from the
   * takeover coordinator.
   */
  void attach(Node built) {
    node = Optional.of(built);
  }

  @Override
  public boolean isReady() {
    return node.isPresent() && node.get().isServing();
  }

  @Override
  public void drain() {
    setDrained(true);
  }

  @Override
  public void activate() {
    setDrained(false);
  }

  @Override
  public Optional<String> view(String path) {
    return fleet.view(path);
  }

  private void setDrained(boolean drained) {
    takeover.setDrained(drained);
    if (node.isPresent()) {
      node.get().core().setDrainedByOperator(drained);
    }
  }
}
