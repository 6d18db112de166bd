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
    node.checkAfter(before.node);
    if (broker != null
        && (!broker.listen().equals(before.broker.listen())
            || broker.connections() != before.broker.connections()
            || !broker.limits().equals(before.broker.limits()))) {
      throw new ConfigException("where the second front listens and its limits need a restart");
    }
    if (broker != null
        && (!Objects.equals(broker.fleet(), before.broker.fleet())
            || (broker.routes() == null) != (before.broker.routes() == null))) {
      throw new ConfigException(
          "its part in the fleet, and whether it publishes routes, need a restart");
    }
    if (broker != null && !Objects.equals(folder(), before.folder())) {
      throw new ConfigException("the folder of state needs a restart");
    }
  }

  /** Where state is kept; null where it is not. */
  private Path folder() {
    return broker.state() == null ? null : broker.state().folder();
  }
}
