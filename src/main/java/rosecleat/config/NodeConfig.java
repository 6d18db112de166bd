package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The configuration of a node, created by {@link NodeConfigReader} or {@link StandaloneConfig}.
 *
 * @param name the name of the node, unique in the fleet
 * @param listenAddress the address on which the node listens for the platform's balancers; null if
 *     there are none
 * @param adminAddress the address of the admin server; null if there is none
 * @param runtimeAddress the address of the machine's runtime, which executes requests; null if
 *     there is none
 * @param registryAddress the address of the platform's service registry; null if there is none
 * @param indexAddress the address of the platform's index; null if there is none
 * @param seed the seed of all random numbers
 * @param stopTimeoutUs the time between the stop signal and the kill of the process, in
 *     microseconds
 * @param maxSockets the maximum number of open sockets of the process
 * @param settings the policy's settings
 * @param source the content of the file; empty if the node runs without a platform
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
   * Checks that a running process may replace its configuration with this one: every key of the
   * configuration in force is present, and no setting that requires a restart differs.
   *
   * @throws ConfigException if the process must not adopt this configuration
   */
  public void requireAdoptableAfter(NodeConfig inForce) {
    KeyComparison.requireSameKeys(inForce.source, source);
    if (!name.equals(inForce.name)
        || !Objects.equals(listenAddress, inForce.listenAddress)
        || !Objects.equals(adminAddress, inForce.adminAddress)
        || (runtimeAddress == null) != (inForce.runtimeAddress == null)) {
      throw ConfigException.restartRequired(
          "a change of the node's name, of its listen address or of the admin server's address"
              + " (mgmt, or operators.listen in the broker file), or of whether a runtime is set,"
              + " requires a restart");
    }
  }
}
