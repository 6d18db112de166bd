package rosecleat.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.IntPredicate;
import rosecleat.config.BrokerConfig;
import rosecleat.config.NamedSettings;
import rosecleat.core.CoreSettings;
import rosecleat.core.NameIndex;
import rosecleat.core.RequestClass;
import rosecleat.core.Runner;
import rosecleat.front.resp.RequestCatalog;
import rosecleat.policy.ClassAndTenantNames;
import rosecleat.policy.Idempotency;
import rosecleat.policy.PolicySettings;
import rosecleat.policy.PriorityClass;
import rosecleat.policy.TenantQuota;

/**
 * The files of a node as its parts see them: each class and tenant by the number that it keeps over
 * reloads.
 */
final class IndexedSettings {
  /**
   * Results of keyed requests kept for their repeats, all together (bytes): a part of the heap, in
   * which all else must fit.
   */
  private static final long RESULT_BYTES = Math.min(8 << 20, Runtime.getRuntime().maxMemory() / 5);

  /** A class under its name; {@code own} where balancers may name it, else a contract made it. */
  private record Term(String name, boolean own, PriorityClass grade) {}

  private final NameIndex<Term> classes = new NameIndex<>();
  private final NameIndex<TenantQuota> tenants = new NameIndex<>();
  private ProcessConfig setup;
  private NamedSettings start;
  private List<String> classKeys;
  private int places;

  /** Takes files for the first time. */
  IndexedSettings(ProcessConfig setup) {
    take(setup, number -> false, number -> false);
  }

  /**
   * Takes files that have changed; returns the numbers that stand for other classes than before.
   */
  List<Integer> take(ProcessConfig fresh, IntPredicate usesClass, IntPredicate usesTenant) {
    setup = fresh;
    start = fresh.broker() == null ? fresh.node().settings() : fresh.broker().settings();
    int own =
        fresh
            .node()
            .settings()
            .classNames()
            .size(); // contracts add theirs behind; balancers can't name those
    List<Term> terms = new ArrayList<>();
    classKeys = new ArrayList<>();
    for (int i = 0; i < start.classNames().size(); i++) {
      Term term = new Term(start.classNames().get(i), i < own, start.policy().classes().get(i));
      terms.add(term);
      classKeys.add(i < own ? term.name : "a contract's " + term);
    }
    tenants.take(start.tenantNames(), start.policy().tenants(), usesTenant);
    return classes.take(classKeys, terms, usesClass);
  }

  /** The settings for the module; a tenant that is dropped has no share any more. */
  PolicySettings settings() {
    List<TenantQuota> shares = new ArrayList<>();
    List<String> names = tenants.names();
    for (int n = 0; n < names.size(); n++) {
      shares.add(names.get(n) == null ? new TenantQuota(0) : tenants.terms().get(n));
    }
    return inRoom()
        .withClassesAndTenants(
            classes.terms().stream().map(Term::grade).toList(), List.copyOf(shares));
  }

  /** The instances in force work on so many requests at once. */
  void places(int now) {
    places = now;
  }

  /**
   * The settings with the room that there is: where all work is done elsewhere, its limit begins at
   * the places there.
   */
  private PolicySettings inRoom() {
    OptionalInt localCapacity =
        setup.broker() == null ? OptionalInt.empty() : setup.broker().localCapacity();
    return localCapacity.isEmpty()
        ? start.policy()
        : start.policy().withCores(Math.max(1, localCapacity.getAsInt() + places));
  }

  /** The names of the gauges, in the order they come. */
  List<String> gauges() {
    return start.gaugeNames();
  }

  /** What the core works under. */
  CoreSettings rules() {
    PolicySettings s = inRoom();
    return new CoreSettings(
        s.cores(),
        classes.terms().stream().map(IndexedSettings::klass).toList(),
        tenants.names(),
        s.slackUs(),
        s.graceUs(),
        s.maxIdleUs(),
        RESULT_BYTES);
  }

  private static RequestClass klass(Term term) {
    return new RequestClass(
        term.name,
        term.grade.idempotency() == Idempotency.KEYED,
        term.grade.callsDownstream(),
        term.grade.retryWindowUs(),
        term.grade.deadlineUs());
  }

  /** The names that balancers' requests may use. */
  RequestCatalog names(Runner runner) {
    List<RequestClass> named = new ArrayList<>();
    List<String> current = classes.names();
    for (int n = 0; n < current.size(); n++) {
      Term term = classes.terms().get(n);
      named.add(current.get(n) != null && term.own ? klass(term) : null);
    }
    return new RequestCatalog(Collections.unmodifiableList(named), tenants.names(), runner);
  }

  /**
   * The names that what was learnt goes by; two contracts of one class with other terms differ in
   * them.
   */
  ClassAndTenantNames learntNames() {
    return new ClassAndTenantNames(classes.names(), tenants.names());
  }

  /** The node's name. */
  String node() {
    return setup.node().name();
  }

  /** The figures of each class in force, by the name that what was learnt of it goes by. */
  Map<String, PriorityClass> figures() {
    Map<String, PriorityClass> figures = new HashMap<>();
    for (int n = 0; n < classes.names().size(); n++) {
      if (classes.names().get(n) != null) {
        figures.put(classes.names().get(n), classes.terms().get(n).grade);
      }
    }
    return figures;
  }

  /** The figures of each tenant in force, by name. */
  Map<String, TenantQuota> quotas() {
    Map<String, TenantQuota> quotas = new HashMap<>();
    for (int n = 0; n < tenants.names().size(); n++) {
      if (tenants.names().get(n) != null) {
        quotas.put(tenants.names().get(n), tenants.terms().get(n));
      }
    }
    return quotas;
  }

  /** The second front's contracts and budgets; null where there is none. */
  BrokerConfig broker() {
    return setup.broker() == null
        ? null
        : setup
            .broker()
            .withIndexes(
                classKeys.stream().map(classes::of).toList(),
                start.tenantNames().stream().map(tenants::of).toList());
  }
}
