package rosecleat.node;

import java.io.IOException;
import rosecleat.config.BrokerConfig;
import rosecleat.front.uwsgi.InstanceBalancer;
import rosecleat.front.uwsgi.UwsgiFrontend;
import rosecleat.front.uwsgi.UwsgiRunner;

/**
 * Creates the uwsgi frontend. This is a separate class so that a node without that frontend loads
 * none of the classes that it needs.
 */
final class UwsgiFrontendFactory {
  private UwsgiFrontendFactory() {}

  /**
   * Creates the frontend for the broker's configuration in force. Its generated ids use a seed that
   * differs from that of the node.
   */
  static UwsgiFrontend create(NodeParts parts, long nodeSeed) throws IOException {
    BrokerConfig broker = parts.settings.broker().orElseThrow();
    InstanceBalancer balancer = parts.fleet.balancer();
    UwsgiRunner runner =
        new UwsgiRunner(
            parts.loop, parts.core, parts.clock, broker.limits().responseBytes(), balancer);
    return new UwsgiFrontend(
        parts.loop,
        broker,
        parts.maxUwsgiConnections,
        parts.clientMemory,
        parts.core,
        parts.runner,
        runner,
        balancer,
        parts.clock,
        parts.log,
        ~nodeSeed);
  }
}
