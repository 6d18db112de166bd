package rosecleat.node;

import rosecleat.admin.AdminServer;
import rosecleat.config.NodeConfig;

/**
 * Divides the file descriptors of this process between connections of balancers and connections to
 * the index. For use on the event loop.
 */
final class DescriptorAllocation {
  /** A uwsgi request may need two connections: one to the caller and one to a backend. */
  private static final int DESCRIPTORS_PER_UWSGI_CONNECTION = 2;

  private final NodeParts parts;
  private boolean sharedWithPeer;

  DescriptorAllocation(NodeParts parts) {
    this.parts = parts;
  }

  /**
   * Sets whether a peer process uses half of the node's descriptors, and divides the remaining
   * ones.
   */
  void setSharedWithPeer(boolean shared) {
    sharedWithPeer = shared;
    apply();
  }

  /** Divides the descriptors according to the settings in force. */
  void apply() {
    NodeConfig config = parts.settings.nodeConfig();
    DescriptorBudget budget =
        DescriptorBudget.of(
            config.maxSockets(),
            descriptorsOfOtherServers(config),
            parts.settings.policySettings().concurrentCalls(),
            sharedWithPeer);
    parts.index.setMaxConnections(budget.index());
    int allowedByMemory = parts.clientMemory.maxConnections() - parts.maxUwsgiConnections;
    parts.frontends.resp().setMaxConnections(Math.min(budget.balancers(), allowedByMemory));
  }

  private int descriptorsOfOtherServers(NodeConfig config) {
    int admin = config.adminAddress() == null ? 0 : AdminServer.MAX_DESCRIPTORS;
    if (parts.frontends.uwsgi().isEmpty()) {
      return admin;
    }
    return admin + DESCRIPTORS_PER_UWSGI_CONNECTION * parts.maxUwsgiConnections;
  }
}
