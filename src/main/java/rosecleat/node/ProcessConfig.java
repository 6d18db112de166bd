package rosecleat.node;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;
import rosecleat.config.BrokerConfig;
import rosecleat.config.ConfigException;
import rosecleat.config.NodeConfig;
import rosecleat.config.StateConfig;

/**
 * The configuration of a process as read from its files.
 *
 * @param node the node's configuration
 * @param broker the broker's configuration, which includes the uwsgi frontend; empty if the node
 *     has none
 */
public record ProcessConfig(NodeConfig node, Optional<BrokerConfig> broker) {
  /** Returns the configuration of a node without a uwsgi frontend. */
  public static ProcessConfig of(NodeConfig node) {
    return new ProcessConfig(node, Optional.empty());
  }

  /**
   * Checks that this configuration may replace another one in a running process.
   *
   * @param inForce the configuration to replace
   * @throws ConfigException if a difference requires a restart
   */
  public void requireAdoptableAfter(ProcessConfig inForce) {
    node.requireAdoptableAfter(inForce.node);
    if (broker.isPresent()) {
      requireAdoptableAfter(broker.get(), inForce.broker.orElseThrow());
    }
  }

  private static void requireAdoptableAfter(BrokerConfig fresh, BrokerConfig inForce) {
    if (!fresh.listenAddress().equals(inForce.listenAddress())
        || fresh.maxConnections() != inForce.maxConnections()
        || !fresh.limits().equals(inForce.limits())) {
      throw ConfigException.restartRequired(
          "changes of the uwsgi frontend's listen address, maximum number of connections and limits"
              + " need a restart");
    }
    if (!Objects.equals(fresh.fleet(), inForce.fleet())
        || (fresh.routes() == null) != (inForce.routes() == null)) {
      throw ConfigException.restartRequired(
          "changes of the fleet section, and adding or removing routes, need a restart");
    }
    if (!stateFolder(fresh).equals(stateFolder(inForce))) {
      throw ConfigException.restartRequired("a change of the state folder needs a restart");
    }
  }

  private static Optional<Path> stateFolder(BrokerConfig broker) {
    return Optional.ofNullable(broker.state()).map(StateConfig::folder);
  }
}
