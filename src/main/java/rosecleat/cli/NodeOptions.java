package rosecleat.cli;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import rosecleat.config.BrokerConfig;
import rosecleat.config.BrokerConfigReader;
import rosecleat.config.ConfigException;
import rosecleat.config.NodeConfig;
import rosecleat.config.NodeConfigReader;
import rosecleat.config.StandaloneConfig;
import rosecleat.node.ProcessConfig;

/** The options for a node's configuration, shared by {@code serve} and {@code check}. */
final class NodeOptions {
  @Parameter(
      names = "--broker",
      description = "broker file (YAML), which enables the uwsgi frontend")
  private String brokerFile;

  @Parameter(
      names = "--counters",
      description = "interval in seconds at which counters are logged; 0 for never")
  private int counterIntervalSeconds;

  /** Returns the interval in seconds at which counters are logged; 0 for never. */
  int counterIntervalSeconds() {
    return counterIntervalSeconds;
  }

  /**
   * Reads the configuration of the node and of its uwsgi frontend.
   *
   * @throws ConfigException if a file is missing or invalid
   */
  ProcessConfig readConfig(Map<String, String> environment) {
    NodeConfig node = readNodeConfig(environment);
    return new ProcessConfig(node, readBrokerConfig(node));
  }

  private NodeConfig readNodeConfig(Map<String, String> environment) {
    String platformFile = environment.get(NodeConfigReader.CONFIG_VARIABLE);
    boolean isStandalone = brokerFile != null && (platformFile == null || platformFile.isBlank());
    return isStandalone
        ? StandaloneConfig.read(Path.of(brokerFile))
        : NodeConfigReader.fromEnvironment(environment);
  }

  /** Reads the configuration of the uwsgi frontend; empty if the node has none. */
  private Optional<BrokerConfig> readBrokerConfig(NodeConfig node) {
    if (brokerFile != null) {
      return Optional.of(BrokerConfigReader.read(Path.of(brokerFile), node.settings()));
    }
    if (node.runtimeAddress() == null) {
      throw ConfigException.invalid(
          "node configuration", "has no runtime, and no broker file is given with --broker");
    }
    return Optional.empty();
  }
}
