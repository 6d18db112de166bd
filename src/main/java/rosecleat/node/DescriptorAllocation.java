package rosecleat.node;

import rosecleat.admin.AdminServer;
import rosecleat.config.NodeConfig;

/**
 * Divides the process's descriptors between balancers' connections and connections to the index.
 * For the event loop.
 */
final class DescriptorAllocation {
  /** A request of the uwsgi front may need a connection to the caller and one to a backend. */
  private static final int DESCRIPTORS_PER_UWSGI_CONNECTION = 2;

  private final NodeParts parts;
  private boolean sharedWithPeer;

  DescriptorAllocation(NodeParts parts) {
    this.parts = parts;
  }

  /** Sets whether a peer process takes half of the node's descriptors, and divides the rest. */
  void setSharedWithPeer(boolean shared) {
    sharedWithPeer = shared;
    apply();
  }

  /** Divides the descriptors under the settings in force. */
  void apply() {
    NodeConfig config = parts.settings.nodeConfig();
    DescriptorBudget budget =
        DescriptorBudget.of(
            config.maxSockets(),
            descriptorsOfOtherServers(config),
            parts.settings.policySettings().concurrentCalls(),
            sharedWithPeer);
    parts.index.setMaxConnections(budget.index());
    parts.frontends.resp().setMaxConnections(budget.balancers());
  }

  private int descriptorsOfOtherServers(NodeConfig config) {
    int admin = config.adminAddress() == null ? 0 : AdminServer.MAX_DESCRIPTORS;
    if (parts.frontends.uwsgi().isEmpty()) {
      return admin;
    }
    int connections = parts.settings.broker().orElseThrow().maxConnections();
    return admin + DESCRIPTORS_PER_UWSGI_CONNECTION * connections;
  }
}
