package rosecleat.node;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;
import rosecleat.config.BrokerConfig;
import rosecleat.config.ConfigException;
import rosecleat.config.NodeConfig;
import rosecleat.config.StateConfig;

/**
 * The configuration of a process, as its files say it.
 *
 * @param node the node's configuration
 * @param broker the configuration of the uwsgi front; empty where the node has none
 */
public record ProcessConfig(NodeConfig node, Optional<BrokerConfig> broker) {
  /** Returns the configuration of a node without a uwsgi front. */
  public static ProcessConfig of(NodeConfig node) {
    return new ProcessConfig(node, Optional.empty());
  }

  /**
   * Checks that this configuration may replace another in a running process.
   *
   * @throws ConfigException where a difference needs a restart
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
          "where the second front listens and its limits need a restart");
    }
    if (!Objects.equals(fresh.fleet(), inForce.fleet())
        || (fresh.routes() == null) != (inForce.routes() == null)) {
      throw ConfigException.restartRequired(
          "its part in the fleet, and whether it publishes routes, need a restart");
    }
    if (!stateFolder(fresh).equals(stateFolder(inForce))) {
      throw ConfigException.restartRequired("the folder of state needs a restart");
    }
  }

  private static Optional<Path> stateFolder(BrokerConfig broker) {
    return Optional.ofNullable(broker.state()).map(StateConfig::folder);
  }
}
