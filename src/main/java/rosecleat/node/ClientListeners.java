package rosecleat.node;

import java.io.IOException;
import rosecleat.config.NodeConfig;

/**
 * Opens the listeners for clients once this process can serve requests. For use on the event loop.
 */
final class ClientListeners {
  private final NodeParts parts;
  private boolean open;

  ClientListeners(NodeParts parts) {
    this.parts = parts;
  }

  /** Returns whether the listeners have been opened; stays true while the node shuts down. */
  boolean areOpen() {
    return open;
  }

  /**
   * Listens on all addresses and announces to peer processes that this process serves. A failure is
   * logged.
   */
  void open() {
    try {
      parts.frontends.listen();
      open = true;
      parts.takeover.markServing();
      logAddresses();
    } catch (IOException e) {
      parts.log.warn("could not open listeners yet: " + e.getMessage());
    }
  }

  private void logAddresses() {
    NodeConfig config = parts.settings.nodeConfig();
    String line = config.name() + " listens ";
    if (config.listenAddress() != null) {
      line += "on " + config.listenAddress() + " ";
    }
    if (parts.frontends.uwsgi().isPresent()) {
      line += "for uwsgi at port " + parts.frontends.uwsgi().get().port();
    }
    parts.log.info(line);
  }
}
