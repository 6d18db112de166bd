package rosecleat.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalInt;

/**
 * The broker file: the uwsgi front, the operations with their contracts and budgets, the state
 * folder and the part in a fleet.
 *
 * @param listenAddress where uwsgi callers connect
 * @param maxConnections how many of them at once, by default 128
 * @param limits bounds of their connections
 * @param variables the names of the uwsgi variables that callers use
 * @param operations all operations that have a contract
 * @param settings the node's settings, with the classes and tenants of contracts and budgets added
 *     at the end
 * @param state where learned estimates are kept; null where they are not
 * @param fleet how the process takes part in a fleet; null where it stands alone
 * @param routes the instances that the process publishes; null where it publishes none
 * @param localCapacity requests that the services without routes work on at once, where the
 *     instances of the other services add theirs; empty where the capacity is configured
 */
public record BrokerConfig(
    InetSocketAddress listenAddress,
    int maxConnections,
    UwsgiLimits limits,
    UwsgiVariables variables,
    List<ServiceOperation> operations,
    NamedSettings settings,
    StateConfig state,
    FleetConfig fleet,
    RoutesFile routes,
    OptionalInt localCapacity) {

  /**
   * Returns the same configuration with other indexes for its classes and tenants.
   *
   * @param classIndexes the new index of each class, by its index here
   * @param tenantIndexes the new index of each tenant, by its index here
   */
  public BrokerConfig withIndexes(List<Integer> classIndexes, List<Integer> tenantIndexes) {
    List<ServiceOperation> reindexed =
        operations.stream()
            .map(operation -> operation.withIndexes(classIndexes, tenantIndexes))
            .toList();
    return new BrokerConfig(
        listenAddress,
        maxConnections,
        limits,
        variables,
        reindexed,
        settings,
        state,
        fleet,
        routes,
        localCapacity);
  }

  /** Whether any operation is executed by the instances that the fleet's routes name. */
  public boolean usesRoutes() {
    return operations.stream().anyMatch(each -> each.backend() instanceof Backend.Fleet);
  }
}
