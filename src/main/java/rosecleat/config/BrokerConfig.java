package rosecleat.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import rosecleat.policy.Idempotency;
import rosecleat.policy.PriorityClass;

/**
 * The configuration read from a broker file: the uwsgi frontend, the operations with their
 * contracts and budgets, the state folder and the fleet membership.
 *
 * @param listenAddress the address on which the uwsgi frontend listens
 * @param maxConnections the maximum number of concurrent uwsgi connections; default 128
 * @param limits size and time limits of uwsgi connections
 * @param variables the names of the uwsgi variables that carry request metadata
 * @param operations all operations that have a contract
 * @param settings the node's settings, extended at the end by the classes and tenants that
 *     contracts and budgets define
 * @param state how learned estimates are persisted; null if they are not
 * @param fleet the settings of fleet membership; null if the process is not part of a fleet
 * @param routes the instances that this process publishes; null if it publishes none
 * @param localCapacity the number of concurrent requests of all services that do not use routes, to
 *     which the capacities of routed instances are added; empty if the capacity is configured or no
 *     service uses routes
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
   * Returns a copy of this configuration in which class and tenant indexes are replaced.
   *
   * @param classIndexes the new class index for each current class index
   * @param tenantIndexes the new tenant index for each current tenant index
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

  /**
   * Returns how long after an idempotency key was first used an attempt with it may still be read,
   * in microseconds: the longest window and the longest deadline of any class.
   */
  public long longestKeyUseUs() {
    List<PriorityClass> classes = settings.policy().classes();
    long windowUs = classes.stream().mapToLong(PriorityClass::retryWindowUs).max().orElse(0);
    long deadlineUs = classes.stream().mapToLong(PriorityClass::deadlineUs).max().orElse(0);
    return windowUs + deadlineUs;
  }

  /** Returns the names of the idempotent classes, each once. */
  public List<String> idempotentClassNames() {
    return IntStream.range(0, settings.classNames().size())
        .filter(i -> settings.policy().classes().get(i).idempotency() == Idempotency.KEYED)
        .mapToObj(settings.classNames()::get)
        .distinct()
        .toList();
  }

  /** Returns whether any operation is executed by instances of the fleet's routing table. */
  public boolean usesRoutes() {
    return operations.stream().anyMatch(each -> each.backend() instanceof Backend.Fleet);
  }
}
