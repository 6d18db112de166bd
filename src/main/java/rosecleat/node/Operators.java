package rosecleat.node;

import java.util.Optional;
import rosecleat.admin.AdminOperations;
import rosecleat.takeover.Handover;

/** What operators asked of a node, kept from before it stands. For the loop. */
final class Operators implements AdminOperations {
  private final Handover handover;
  private final Sharing sharing;
  private Node node;

  /** {@code sharing} is null where the process shares nothing. */
  Operators(Handover handover, Sharing sharing) {
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
    handover.drain(aside);
    if (node != null) {
      node.core().setAside(aside);
    }
  }
}
