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

/** The options that name a node's configuration, shared by {@code serve} and {@code check}. */
final class NodeOptions {
  @Parameter(names = "--broker", description = "the file that turns on the uwsgi front")
  private String brokerFile;

  @Parameter(names = "--counters", description = "log the counters every so many seconds")
  private int counterIntervalSeconds;

  /** How often the counters are logged, in seconds; 0 for never. */
  int counterIntervalSeconds() {
    return counterIntervalSeconds;
  }

  /**
   * Reads the node's configuration and that of its uwsgi front.
   *
   * @throws ConfigException where a file is missing or cannot be used
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

  /** The configuration of the uwsgi front; empty where the node has none. */
  private Optional<BrokerConfig> readBrokerConfig(NodeConfig node) {
    if (brokerFile != null) {
      return Optional.of(BrokerConfigReader.read(Path.of(brokerFile), node.settings()));
    }
    if (node.runtimeAddress() == null) {
      throw ConfigException.invalid(
          "the configuration", "names no runtime, and there is no broker's file");
    }
    return Optional.empty();
  }
}
