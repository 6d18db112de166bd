package rosecleat.node;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.function.LongSupplier;
import rosecleat.config.BrokerConfig;
import rosecleat.config.StateConfig;
import rosecleat.core.Counters;
import rosecleat.facts.Fact;
import rosecleat.facts.FactKind;
import rosecleat.facts.SettingsDigests;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.policy.PolicyEngine;
import rosecleat.policy.PolicySettings;
import rosecleat.policy.PriorityClass;
import rosecleat.state.StateStore;
import rosecleat.state.StateStoreOpener;

/**
 * What a node learnt, as it is kept between its processes: puts the node's settings in the terms of
 * {@link StateStore}. Loaded only where the broker's file has a section {@code state}.
 */
final class StatePersistence {
  /**
   * A call that takes more of the shortest wanted time than this would keep all calls from being
   * made.
   */
  private static final double CALL_PART = 0.25;

  private final StateConfig state;
  private final StateStoreOpener opener;
  private final Log log;
  private IndexedSettings numbering;
  private StateStore memory;
  private SettingsDigests terms; // of the settings in force, worked out once

  /** Begins to open the folder; the node may stand later. */
  StatePersistence(StateConfig state, Log log) {
    this.state = state;
    this.log = log;
    opener = new StateStoreOpener(state.folder(), state.maxBytes(), log);
  }

  /** Where a broker keeps what it learnt; null where it keeps nothing. */
  static StatePersistence of(BrokerConfig broker, Log log) {
    return broker == null || broker.state() == null
        ? null
        : new StatePersistence(broker.state(), log);
  }

  /** The node stands: its module is given what was found, and what it learns is kept. */
  void serve(
      IndexedSettings of,
      PolicyEngine decisions,
      EventLoop loop,
      LongSupplier clock,
      Counters counters) {
    numbering = of;
    memory =
        new StateStore(
            settings(state),
            opener,
            new StateStore.Host(
                this::terms, numbering::learntNames, decisions, clock, loop::execute),
            counters,
            log);
  }

  private static StateStore.Settings settings(StateConfig s) {
    return new StateStore.Settings(s.saveIntervalUs(), s.halfLifeUs());
  }

  StateStore memory() {
    return memory;
  }

  /** Other settings, of the same folder; its size is taken at the next start. */
  void use(StateConfig fresh) {
    terms = null;
    memory.apply(settings(fresh));
  }

  /** The settings in force, as far as what was learnt depends on them. */
  private SettingsDigests terms() {
    terms = terms == null ? reckoned() : terms;
    return terms;
  }

  private SettingsDigests reckoned() {
    PolicySettings s = numbering.settings();
    Map<String, String> classes = new HashMap<>();
    Map<String, String> tenants = new HashMap<>();
    Map<Fact.Key, Double> ceilings = new HashMap<>();
    double callUs = Double.MAX_VALUE;
    for (Map.Entry<String, PriorityClass> each : numbering.figures().entrySet()) {
      PriorityClass k = each.getValue();
      classes.put(each.getKey(), digest(k.digestText()));
      ceilings.put(new Fact.Key(FactKind.RUN_TIME, each.getKey()), (double) k.latencyObjectiveUs());
      callUs = k.callsDownstream() ? Math.min(callUs, CALL_PART * k.latencyObjectiveUs()) : callUs;
    }
    numbering.quotas().forEach((name, tenant) -> tenants.put(name, digest(tenant.digestText())));
    ceilings.put(new Fact.Key(FactKind.CALL_TIME, ""), callUs);
    String server =
        digest(
            s.cores()
                + " "
                + s.overloadMultiple()
                + " "
                + s.concurrentCalls()
                + " "
                + s.callWindowUs());
    return new SettingsDigests(numbering.node(), server, classes, tenants, ceilings);
  }

  private static String digest(String figures) {
    try {
      byte[] sum =
          MessageDigest.getInstance("SHA-256").digest(figures.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(sum, 0, 8);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // each Java platform has it
    }
  }
}
