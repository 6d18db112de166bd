package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The configuration of one node; see {@link NodeConfigReader} and {@link StandaloneConfig} for
 * where it comes from.
 *
 * @param name the node's name, one of its kind in the fleet
 * @param listenAddress where the platform's balancers connect; null where there are none
 * @param adminAddress where operators connect; null where nothing is offered to them
 * @param runtimeAddress the machine's runtime, which executes requests; null where there is none
 * @param registryAddress the platform's registry of nodes; null where there is none
 * @param indexAddress the platform's index; null where there is none
 * @param seed the seed of all random draws
 * @param stopTimeoutUs the time from the signal to stop until the process is killed, in
 *     microseconds
 * @param maxSockets how many sockets the process may have open
 * @param settings the policy's settings
 * @param source the file that was read, empty where the node stands alone
 */
public record NodeConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress adminAddress,
    InetSocketAddress runtimeAddress,
    InetSocketAddress registryAddress,
    InetSocketAddress indexAddress,
    long seed,
    long stopTimeoutUs,
    int maxSockets,
    NamedSettings settings,
    JsonNode source) {

  /**
   * Checks that a running process with another configuration may adopt this one: it has every key
   * that the other has, and what needs a restart is the same.
   *
   * @throws ConfigException where it must not be adopted
   */
  public void requireAdoptableAfter(NodeConfig inForce) {
    KeyComparison.requireSameKeys(inForce.source, source);
    if (!name.equals(inForce.name)
        || !Objects.equals(listenAddress, inForce.listenAddress)
        || !Objects.equals(adminAddress, inForce.adminAddress)
        || (runtimeAddress == null) != (inForce.runtimeAddress == null)) {
      throw ConfigException.restartRequired(
          "its name, where it listens and whether it has a runtime need a restart");
    }
  }
}
