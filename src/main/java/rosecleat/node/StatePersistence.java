package rosecleat.node;

import java.util.function.LongSupplier;
import rosecleat.config.BrokerConfig;
import rosecleat.config.StateConfig;
import rosecleat.core.Counters;
import rosecleat.facts.SettingsDigests;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.policy.PolicyEngine;
import rosecleat.state.StateStore;
import rosecleat.state.StateStoreOpener;

/**
 * Persists estimates in the state folder of a node. Loaded only if the broker's file has a section
 * {@code state}, so that other nodes start without the classes of the store.
 */
final class StatePersistence implements EstimatePersistence {
  private final StateConfig initial;
  private final StateStoreOpener opener;
  private final Log log;
  private IndexedSettings settings;
  private StateStore store;
  private SettingsDigests digests; // null until they are requested under the settings in force

  /** Starts to open the folder in the background; the node may be built later. */
  StatePersistence(StateConfig initial, Log log) {
    this.initial = initial;
    this.log = log;
    opener = new StateStoreOpener(initial.folder(), initial.maxBytes(), log);
  }

  @Override
  public void attach(
      IndexedSettings inForce,
      PolicyEngine policy,
      EventLoop loop,
      LongSupplier clock,
      Counters counters) {
    settings = inForce;
    store =
        new StateStore(
            memorySettings(initial),
            opener,
            new StateStore.Host(this::digests, settings::storedNames, policy, clock, loop::execute),
            counters,
            log);
  }

  private static StateStore.Settings memorySettings(StateConfig state) {
    return new StateStore.Settings(state.saveIntervalUs(), state.halfLifeUs());
  }

  private SettingsDigests digests() {
    if (digests == null) {
      digests = StateDigests.of(settings);
    }
    return digests;
  }

  @Override
  public void reconfigure(BrokerConfig broker) {
    digests = null;
    store.apply(memorySettings(broker.state()));
  }

  @Override
  public void poll(long nowUs) {
    store.saveIfDue(nowUs);
  }

  @Override
  public void save(long nowUs) {
    store.save(nowUs);
  }

  @Override
  public void saveAndRelease(long nowUs) {
    store.saveAndRelease(nowUs);
  }

  @Override
  public boolean close(long maxMs) {
    return store.close(maxMs);
  }
}
