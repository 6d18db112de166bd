package rosecleat.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.IntPredicate;
import rosecleat.config.BrokerConfig;
import rosecleat.config.NamedSettings;
import rosecleat.config.NodeConfig;
import rosecleat.core.CoreSettings;
import rosecleat.core.NameIndex;
import rosecleat.core.RequestClass;
import rosecleat.core.Runner;
import rosecleat.front.resp.RequestCatalog;
import rosecleat.policy.ClassAndTenantNames;
import rosecleat.policy.PolicySettings;
import rosecleat.policy.PriorityClass;
import rosecleat.policy.TenantQuota;

/**
 * The configuration in force, with an index for each class and tenant. Configured classes and
 * tenants keep their indices over reloads; the index of a removed one is not reassigned while a
 * request uses it. For use on the event loop.
 */
final class IndexedSettings {
  /**
   * Maximum total size of the results that are retained for retries of idempotent requests (bytes).
   * Limited to a fifth of the heap, since all other data must fit into the heap as well.
   */
  private static final long MAX_RETAINED_RESULT_BYTES =
      Math.min(8 << 20, Runtime.getRuntime().maxMemory() / 5);

  /**
   * A request class in force.
   *
   * @param name the name of the class in the configuration
   * @param own whether the node's configuration defines the class, so that balancers may use it;
   *     otherwise a contract in the broker's file added it
   * @param settings the settings of the class
   */
  private record IndexedClass(String name, boolean own, PriorityClass settings) {
    /**
     * Returns the key of the class's index and of its stored estimates. The keys of two contracts
     * that use the same class with different settings differ. The key is part of stored state, so
     * its form must not change.
     */
    String key() {
      return own
          ? name
          : "a contract's Term[name=" + name + ", own=false, grade=" + settings.digestText() + "]";
    }
  }

  private final NameIndex<IndexedClass> classes = new NameIndex<>();
  private final NameIndex<TenantQuota> tenants = new NameIndex<>();
  private ProcessConfig config;
  private NamedSettings start;
  private List<String> classKeys;
  private int instanceCapacity;

  /** Creates the indices for the configuration of a starting process. */
  IndexedSettings(ProcessConfig config) {
    update(config, index -> false, index -> false);
  }

  /**
   * Puts a changed configuration in force.
   *
   * @param fresh the new configuration
   * @param classInUse whether a request uses the class with an index; the index of a removed class
   *     is not reassigned while this is true
   * @param tenantInUse whether a request uses the tenant with an index; the index of a removed
   *     tenant is not reassigned while this is true
   * @return the indices that have been assigned to a different class, including new indices
   */
  List<Integer> update(ProcessConfig fresh, IntPredicate classInUse, IntPredicate tenantInUse) {
    config = fresh;
    start = fresh.broker().isPresent() ? fresh.broker().get().settings() : fresh.node().settings();
    // The classes of contracts follow the node's own classes.
    int ownClasses = fresh.node().settings().classNames().size();
    List<IndexedClass> indexed = new ArrayList<>();
    classKeys = new ArrayList<>();
    for (int i = 0; i < start.classNames().size(); i++) {
      IndexedClass each =
          new IndexedClass(
              start.classNames().get(i), i < ownClasses, start.policy().classes().get(i));
      indexed.add(each);
      classKeys.add(each.key());
    }
    tenants.update(start.tenantNames(), start.policy().tenants(), tenantInUse);
    return classes.update(classKeys, indexed, classInUse);
  }

  /** Sets the total number of requests that all instances process concurrently. */
  void setInstanceCapacity(int capacity) {
    instanceCapacity = capacity;
  }

  /** Returns the settings of the policy. A tenant that was removed has a quota of 0. */
  PolicySettings policySettings() {
    List<TenantQuota> quotas = new ArrayList<>();
    List<String> names = tenants.names();
    for (int i = 0; i < names.size(); i++) {
      quotas.add(names.get(i) == null ? new TenantQuota(0) : tenants.values().get(i));
    }
    return settingsWithCapacity()
        .withClassesAndTenants(
            classes.values().stream().map(IndexedClass::settings).toList(), List.copyOf(quotas));
  }

  /**
   * Returns the policy's configured settings. If the configuration states no capacity and a service
   * uses routes, the limit on running requests starts at the sum of the local capacity and the
   * capacity of all instances, at least 1.
   */
  private PolicySettings settingsWithCapacity() {
    OptionalInt ownCapacity =
        config.broker().isPresent() ? config.broker().get().localCapacity() : OptionalInt.empty();
    return ownCapacity.isEmpty()
        ? start.policy()
        : start.policy().withCores(Math.max(1, ownCapacity.getAsInt() + instanceCapacity));
  }

  /** Returns the names of the runtime's gauges in the order in which the runtime reports them. */
  List<String> gauges() {
    return start.gaugeNames();
  }

  CoreSettings coreSettings() {
    PolicySettings settings = settingsWithCapacity();
    return new CoreSettings(
        settings.cores(),
        classes.values().stream().map(IndexedSettings::requestClass).toList(),
        tenants.names(),
        settings.slackUs(),
        settings.graceUs(),
        settings.maxIdleUs(),
        MAX_RETAINED_RESULT_BYTES);
  }

  private static RequestClass requestClass(IndexedClass indexed) {
    PriorityClass settings = indexed.settings;
    return new RequestClass(
        indexed.name,
        settings.idempotency(),
        settings.callsDownstream(),
        settings.retryWindowUs(),
        settings.deadlineUs());
  }

  /** Returns the classes and tenants that requests of balancers may name. */
  RequestCatalog requestCatalog(Runner runner) {
    List<RequestClass> named = new ArrayList<>();
    List<String> keys = classes.names();
    for (int i = 0; i < keys.size(); i++) {
      IndexedClass indexed = classes.values().get(i);
      named.add(keys.get(i) != null && indexed.own ? requestClass(indexed) : null);
    }
    return new RequestCatalog(Collections.unmodifiableList(named), tenants.names(), runner);
  }

  /** Returns the names under which estimates are stored, by index. */
  ClassAndTenantNames storedNames() {
    return new ClassAndTenantNames(classes.names(), tenants.names());
  }

  /**
   * Returns the settings of each class in force, by the key under which its estimates are stored.
   */
  Map<String, PriorityClass> classSettings() {
    Map<String, PriorityClass> settings = new HashMap<>();
    for (int i = 0; i < classes.names().size(); i++) {
      if (classes.names().get(i) != null) {
        settings.put(classes.names().get(i), classes.values().get(i).settings);
      }
    }
    return settings;
  }

  /** Returns the quota of each tenant in force, by tenant name. */
  Map<String, TenantQuota> quotas() {
    Map<String, TenantQuota> quotas = new HashMap<>();
    for (int i = 0; i < tenants.names().size(); i++) {
      if (tenants.names().get(i) != null) {
        quotas.put(tenants.names().get(i), tenants.values().get(i));
      }
    }
    return quotas;
  }

  /** Returns the node's configuration in force. */
  NodeConfig nodeConfig() {
    return config.node();
  }

  /**
   * Returns the broker's configuration in force, with classes and tenants as indices; empty if
   * there is none.
   */
  Optional<BrokerConfig> broker() {
    if (config.broker().isEmpty()) {
      return Optional.empty();
    }
    List<Integer> classIndexes = classKeys.stream().map(classes::indexOf).toList();
    List<Integer> tenantIndexes = start.tenantNames().stream().map(tenants::indexOf).toList();
    return Optional.of(config.broker().get().withIndexes(classIndexes, tenantIndexes));
  }
}
