package rosecleat.cli;

import rosecleat.mgmt.Operations;

/** What operators asked of a node, kept from before it stands. For the loop. */
final class Operators implements Operations {
  private Node node;
  private boolean away;

  /** The node stands, and follows what was asked before. */
  void serve(Node fresh) {
    node = fresh;
    fresh.core().setAside(away);
  }

  @Override public boolean ready() {
    return node != null && node.serving();
  }

  @Override public void drain() {
    set(true);
  }

  @Override public void activate() {
    set(false);
  }

  private void set(boolean aside) {
    away = aside;
    if (node != null) {
      node.core().setAside(aside);
    }
  }
}
