package rosecleat.node;

import java.io.IOException;
import rosecleat.config.NodeConfig;

/** Opens the listeners for clients, once this process can serve them. For the event loop. */
final class ClientListeners {
  private final NodeParts parts;
  private boolean open;

  ClientListeners(NodeParts parts) {
    this.parts = parts;
  }

  /** Returns whether clients can connect; stays true while the node shuts down. */
  boolean areOpen() {
    return open;
  }

  /** Listens on all addresses and shows peers that this process serves; a failure is logged. */
  void open() {
    try {
      parts.frontends.listen();
      open = true;
      parts.takeover.markServing();
      logAddresses();
    } catch (IOException e) {
      parts.log.warn("can't listen yet: " + e.getMessage());
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
