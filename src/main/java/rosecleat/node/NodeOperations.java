package rosecleat.node;

import java.util.Optional;
import rosecleat.admin.AdminOperations;
import rosecleat.takeover.TakeoverCoordinator;

/** What operators asked of a node, kept from before it stands. For the loop. */
final class NodeOperations implements AdminOperations {
  private final TakeoverCoordinator handover;
  private final FleetIntegration sharing;
  private Node node;

  /** {@code sharing} is null where the process shares nothing. */
  NodeOperations(TakeoverCoordinator handover, FleetIntegration sharing) {
    this.handover = handover;
    this.sharing = sharing;
  }

  /** The node stands; it follows what was asked before, and in its other processes. */
  void serve(Node fresh) {
    node = fresh;
  }

  @Override
  public boolean isReady() {
    return node != null && node.serving();
  }

  @Override
  public void drain() {
    set(true);
  }

  @Override
  public void activate() {
    set(false);
  }

  @Override
  public Optional<String> view(String path) {
    return sharing == null ? Optional.empty() : Optional.ofNullable(sharing.view(path));
  }

  private void set(boolean aside) {
    handover.setDrained(aside);
    if (node != null) {
      node.core().setDrainedByOperator(aside);
    }
  }
}
