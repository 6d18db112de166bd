package rosecleat.measure;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.HdrHistogram.Histogram;
import rosecleat.config.NodeConfig;
import rosecleat.config.NodeConfigReader;
import rosecleat.core.Counters;
import rosecleat.facts.SettingsDigests;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.policy.ClassAndTenantNames;
import rosecleat.policy.PolicyCommand;
import rosecleat.policy.PolicyEngine;
import rosecleat.policy.PolicyEvent;
import rosecleat.state.StateStore;
import rosecleat.state.StateStoreOpener;

/**
 * Measures how long saving blocks a node's event loop in the most expensive case: every estimate
 * has changed and there are many tenants.
 */
final class StateSaveSpeed {
  private static final int ROUNDS = 3_000;
  private static final int WARM_UP_ROUNDS = 500;

  /** Time between rounds on the node's clock, long enough that all facts are written again (us). */
  private static final long ROUND_US = 100_000_000;

  private final int tenants;
  private final NodeConfig config;
  private final PolicyEngine policy;
  private final Counters counters = new Counters();
  private final ConcurrentLinkedQueue<Runnable> loop = new ConcurrentLinkedQueue<>();
  private final StateStore store;
  private long nowUs = System.currentTimeMillis() * 1000;

  private StateSaveSpeed(Path folder, int tenants) {
    this.tenants = tenants;
    List<String> names = new ArrayList<>();
    Map<String, String> digests = new HashMap<>();
    for (int tenant = 0; tenant < tenants; tenant++) {
      names.add("team" + tenant);
      digests.put("team" + tenant, "0123456789abcdef");
    }
    config = config(names);
    policy = new PolicyEngine(config.settings().policy(), List.of(), 1);
    policy.start(nowUs, false);
    SettingsDigests settings =
        new SettingsDigests("n1", "s", Map.of("balance-check", "c"), digests, Map.of());
    Log log = new Log(System.err);
    store =
        new StateStore(
            new StateStore.Settings(1, 600_000_000),
            new StateStoreOpener(folder, 64 << 20, log),
            new StateStore.Host(
                () -> settings,
                () -> new ClassAndTenantNames(config.settings().classNames(), names),
                policy,
                () -> nowUs,
                loop::add),
            counters,
            log);
  }

  private static NodeConfig config(List<String> tenantNames) {
    StringBuilder parties = new StringBuilder();
    for (String name : tenantNames) {
      parties.append(parties.isEmpty() ? "" : ",");
      parties.append("{\"name\":\"").append(name).append("\",\"quota-per-s\":5}");
    }
    return NodeConfigReader.parse(
        TestSite.config(1, 0, 0, 2_000, 500)
            .source()
            .toString()
            .replaceAll("\"parties\":\\[.*?]", "\"parties\":[" + parties + "]"),
        Map.of());
  }

  /** Empties a folder, measures saving into it and prints one line. */
  static void print(Path folder, int tenants) throws Exception {
    StoreSpeed.wipe(folder);
    new StateSaveSpeed(folder, tenants).run();
  }

  private void run() throws Exception {
    Histogram blocked = new Histogram(60_000_000_000L, 3);
    for (int round = 1; round <= ROUNDS; round++) {
      nowUs += ROUND_US;
      arrive(round);
      long startNs = System.nanoTime();
      store.saveIfDue(nowUs);
      for (Runnable task = loop.poll(); task != null; task = loop.poll()) {
        task.run();
      }
      if (round > WARM_UP_ROUNDS) {
        blocked.recordValue(System.nanoTime() - startNs);
      }
      Thread.sleep(1);
    }
    store.close(5_000);
    System.out.printf(
        Locale.ROOT,
        "%na save of %d tenants blocks the loop %.0f us at p50, %.0f at p99.9 (%d saves)%n",
        tenants,
        blocked.getValueAtPercentile(50) / 1e3,
        blocked.getValueAtPercentile(99.9) / 1e3,
        counters.get("state.saves"));
  }

  /** Simulates the arrival of a request, which changes the tenants' shares. */
  private void arrive(int round) {
    policy.handle(
        nowUs,
        new PolicyEvent.Arrived(
            round, 0, round % tenants, 0, 1_000_000, 8, 0.5, false, false, 1, 0, 0));
    PolicyCommand command = policy.nextCommand();
    while (command != null) {
      command = policy.nextCommand();
    }
  }
}
