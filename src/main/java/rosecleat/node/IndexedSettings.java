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
 * The configuration in force with an index for each class and tenant, which both keep over reloads
 * for as long as a request uses them. For the event loop.
 */
final class IndexedSettings {
  /**
   * Results kept for retries of idempotent requests, all together (bytes): a part of the heap, in
   * which everything else must fit.
   */
  private static final long MAX_RETAINED_RESULT_BYTES =
      Math.min(8 << 20, Runtime.getRuntime().maxMemory() / 5);

  /**
   * A class in force.
   *
   * @param name the class's name in the configuration
   * @param own whether the node's configuration names it, so that balancers may use it; otherwise a
   *     contract of the broker's file added it
   * @param settings the class's settings
   */
  private record IndexedClass(String name, boolean own, PriorityClass settings) {
    /**
     * The key of the class's index and of its stored estimates. Two contracts of one class with
     * other settings differ in it. Stored state holds this text, so its form must not change.
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

  /** Indexes the configuration of a starting process. */
  IndexedSettings(ProcessConfig config) {
    update(config, index -> false, index -> false);
  }

  /**
   * Puts a changed configuration in force.
   *
   * @param classInUse whether a request uses the class of an index, which then keeps it
   * @param tenantInUse the same for tenants
   * @return the indices that stand for other classes than before
   */
  List<Integer> update(ProcessConfig fresh, IntPredicate classInUse, IntPredicate tenantInUse) {
    config = fresh;
    start = fresh.broker().isPresent() ? fresh.broker().get().settings() : fresh.node().settings();
    int ownClasses =
        fresh.node().settings().classNames().size(); // those of contracts come after them
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

  /** Sets how many requests all instances together work on at once. */
  void setInstanceCapacity(int capacity) {
    instanceCapacity = capacity;
  }

  /** Returns the policy's settings; a tenant that was removed has no quota any more. */
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

  /** Where instances elsewhere do all work, the limit on running requests starts at their sum. */
  private PolicySettings settingsWithCapacity() {
    OptionalInt ownCapacity =
        config.broker().isPresent() ? config.broker().get().localCapacity() : OptionalInt.empty();
    return ownCapacity.isEmpty()
        ? start.policy()
        : start.policy().withCores(Math.max(1, ownCapacity.getAsInt() + instanceCapacity));
  }

  /** Returns the names of the runtime's gauges, in the order in which it sends them. */
  List<String> gauges() {
    return start.gaugeNames();
  }

  /** Returns the core's settings. */
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

  /** Returns the classes and tenants that balancers' requests may name. */
  RequestCatalog requestCatalog(Runner runner) {
    List<RequestClass> named = new ArrayList<>();
    List<String> keys = classes.names();
    for (int i = 0; i < keys.size(); i++) {
      IndexedClass indexed = classes.values().get(i);
      named.add(keys.get(i) != null && indexed.own ? requestClass(indexed) : null);
    }
    return new RequestCatalog(Collections.unmodifiableList(named), tenants.names(), runner);
  }

  /** Returns the names by which estimates are stored, by index. */
  ClassAndTenantNames storedNames() {
    return new ClassAndTenantNames(classes.names(), tenants.names());
  }

  /** Returns the settings of each class in force, by the name under which estimates are stored. */
  Map<String, PriorityClass> classSettings() {
    Map<String, PriorityClass> settings = new HashMap<>();
    for (int i = 0; i < classes.names().size(); i++) {
      if (classes.names().get(i) != null) {
        settings.put(classes.names().get(i), classes.values().get(i).settings);
      }
    }
    return settings;
  }

  /** Returns the quota of each tenant in force, by name. */
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

  /** Returns the broker's configuration in force, by indices; empty where there is none. */
  Optional<BrokerConfig> broker() {
    if (config.broker().isEmpty()) {
      return Optional.empty();
    }
    List<Integer> classIndexes = classKeys.stream().map(classes::indexOf).toList();
    List<Integer> tenantIndexes = start.tenantNames().stream().map(tenants::indexOf).toList();
    return Optional.of(config.broker().get().withIndexes(classIndexes, tenantIndexes));
  }
}
