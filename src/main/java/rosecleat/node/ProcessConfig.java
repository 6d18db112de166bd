package rosecleat.node;

import java.nio.file.Path;
import java.util.Objects;
import rosecleat.config.BrokerConfig;
import rosecleat.config.ConfigException;
import rosecleat.config.NodeConfig;

/**
 * All that a node is told by files: its configuration, and that of its second front, null where it
 * has none.
 */
public record ProcessConfig(NodeConfig node, BrokerConfig broker) {
  /** Checks that this may take the place of another in a running process. */
  public void checkAfter(ProcessConfig before) {
    node.requireAdoptableAfter(before.node);
    if (broker != null
        && (!broker.listenAddress().equals(before.broker.listenAddress())
            || broker.maxConnections() != before.broker.maxConnections()
            || !broker.limits().equals(before.broker.limits()))) {
      throw ConfigException.restartRequired(
          "where the second front listens and its limits need a restart");
    }
    if (broker != null
        && (!Objects.equals(broker.fleet(), before.broker.fleet())
            || (broker.routes() == null) != (before.broker.routes() == null))) {
      throw ConfigException.restartRequired(
          "its part in the fleet, and whether it publishes routes, need a restart");
    }
    if (broker != null && !Objects.equals(folder(), before.folder())) {
      throw ConfigException.restartRequired("the folder of state needs a restart");
    }
  }

  /** Where state is kept; null where it is not. */
  private Path folder() {
    return broker.state() == null ? null : broker.state().folder();
  }
}
