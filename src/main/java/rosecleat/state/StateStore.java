package rosecleat.state;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import rosecleat.core.Counters;
import rosecleat.facts.Fact;
import rosecleat.facts.FactAggregator;
import rosecleat.facts.FactChangeFilter;
import rosecleat.facts.SettingsDigests;
import rosecleat.log.Log;
import rosecleat.policy.ClassAndTenantNames;
import rosecleat.policy.Estimate;
import rosecleat.policy.PolicyEngine;
import rosecleat.store.AppendFailure;
import rosecleat.store.AppendResult;
import rosecleat.store.RecordStore;
import rosecleat.store.RecoveryReport;

/**
 * Preserves the estimates of a node's policy engine across restarts: restores them once the store
 * has been read, and saves changed ones at intervals. Until the store is open, or if it cannot be
 * opened, the node works without it. Must be used on the node's loop, except for {@link #close};
 * saving takes place on a thread of its own.
 */
public final class StateStore {
  /**
   * How often facts are saved and how fast they decay.
   *
   * @param saveIntervalUs interval at which changed facts are saved (us)
   * @param halfLifeUs general half-life of facts, which each kind scales by a factor (us)
   */
  public record Settings(long saveIntervalUs, long halfLifeUs) {}

  /**
   * The parts of its node that the store depends on.
   *
   * @param settings supplies the digests of the settings in force
   * @param names supplies the names of the configured classes and tenants
   * @param policy the policy engine
   * @param clock the wall clock (Unix microseconds)
   * @param loop runs a task on the node's loop; may be called on any thread
   */
  public record Host(
      Supplier<SettingsDigests> settings,
      Supplier<ClassAndTenantNames> names,
      PolicyEngine policy,
      LongSupplier clock,
      Consumer<Runnable> loop) {}

  private final Host host;
  private final Counters counters;
  private final Log log;
  private final StateStoreOpener opener;

  /** Selects the facts to save; used on the saver's thread only. */
  private final FactChangeFilter changeFilter = new FactChangeFilter();

  /** Whether a save is in progress; until it ends, further saves are skipped. */
  private final AtomicBoolean saveInProgress = new AtomicBoolean();

  private final ExecutorService saver = Executors.newSingleThreadExecutor(StateStore::saverThread);
  private Settings settings;
  private boolean opened;
  private boolean restored;
  private long nextSaveUs;
  private boolean lastSaveFailed;

  /** Creates a store that restores the facts that an opener recovers. */
  public StateStore(
      Settings settings, StateStoreOpener opener, Host host, Counters counters, Log log) {
    this.settings = settings;
    this.opener = opener;
    this.host = host;
    this.counters = counters;
    this.log = log;
    opener.onRecovered(report -> host.loop().accept(() -> restore(report)));
  }

  private static Thread saverThread(Runnable task) {
    Thread thread = new Thread(task, "state saver");
    thread.setDaemon(true);
    return thread;
  }

  /** Replaces the settings after a reload. */
  public void apply(Settings newSettings) {
    settings = newSettings;
  }

  /**
   * Passes recovered facts to the policy engine. A later report is ignored once the policy engine
   * has started.
   */
  private void restore(RecoveryReport report) {
    if (!opened && opener.store().isPresent()) {
      opened = true;
      counters.add("state.opened");
      counters.add("state.findings", report.issues().size());
    }
    if (restored && host.policy().started()) {
      return;
    }
    restored = true;
    List<NodeFact> recovered = ((FactState) report.state()).facts();
    host.policy()
        .restore(host.names().get(), () -> usableEstimates(recovered, host.clock().getAsLong()));
  }

  private List<Estimate> usableEstimates(List<NodeFact> recovered, long nowUs) {
    FactAggregator aggregator = new FactAggregator(host.settings().get(), settings.halfLifeUs());
    for (NodeFact nodeFact : recovered) {
      aggregator.add(nodeFact.node(), List.of(nodeFact.fact()), nowUs);
    }
    List<Fact> facts = aggregator.factsAt(nowUs);
    counters.add("state.taken", facts.size());
    aggregator
        .rejections()
        .forEach(
            (reason, count) ->
                counters.add("state.dropped." + reason.name().toLowerCase(Locale.ROOT), count));
    if (!recovered.isEmpty()) {
      log.info(
          "state: restored "
              + facts.size()
              + " of "
              + recovered.size()
              + " stored facts"
              + (aggregator.rejections().isEmpty() ? "" : ", dropped " + aggregator.rejections()));
    }
    return facts.stream().map(EstimateConverter::toEstimate).toList();
  }

  /** Saves changed facts if the save interval has passed. Meant to be called frequently. */
  public void saveIfDue(long nowUs) {
    if (nowUs >= nextSaveUs) {
      nextSaveUs = nowUs + settings.saveIntervalUs();
      save(nowUs);
    }
  }

  /**
   * Saves changed facts now. The caller's thread only copies the estimates. Does nothing while
   * another save is in progress.
   */
  public void save(long nowUs) {
    Optional<RecordStore> store = opener.store();
    if (store.isEmpty()
        || !restored
        || !host.policy().started()
        || saver.isShutdown()
        || !saveInProgress.compareAndSet(false, true)) {
      return;
    }
    List<Estimate> estimates = host.policy().estimates(host.names().get());
    SettingsDigests digests = host.settings().get();
    double halfLifeUs = settings.halfLifeUs();
    saver.execute(
        () -> {
          try {
            appendChanges(store.get(), estimates, digests, halfLifeUs, nowUs);
          } finally {
            saveInProgress.set(false);
          }
        });
  }

  private void appendChanges(
      RecordStore store,
      List<Estimate> estimates,
      SettingsDigests digests,
      double halfLifeUs,
      long nowUs) {
    List<Fact> facts =
        estimates.stream()
            .map(estimate -> EstimateConverter.toFact(estimate, digests, nowUs))
            .filter(fact -> EstimateConverter.isStorable(fact, digests))
            .toList();
    List<Fact> changed = changeFilter.changed(facts, halfLifeUs);
    if (changed.isEmpty()) {
      return;
    }
    AppendResult result =
        store.append(
            List.of(FactCodec.encode(digests.node(), changed)),
            failure -> host.loop().accept(() -> onSaveCompleted(changed, failure)));
    if (result == AppendResult.FULL) {
      host.loop().accept(() -> counters.add("state.full"));
    }
  }

  private void onSaveCompleted(List<Fact> facts, Optional<AppendFailure> failure) {
    counters.add(failure.isEmpty() ? "state.saves" : "state.failures");
    if (failure.isEmpty() && !saver.isShutdown()) {
      saver.execute(() -> changeFilter.markPersisted(facts));
    }
    if (lastSaveFailed != failure.isPresent()) {
      lastSaveFailed = failure.isPresent();
      log.warn(
          failure
              .map(reason -> "state: estimates not saved: " + reason.message())
              .orElse("state: estimates are saved again"));
    }
  }

  /**
   * Saves a last time and starts to close the store, so that another process can open it; does not
   * wait.
   */
  public void saveAndRelease(long nowUs) {
    save(nowUs);
    if (!saver.isShutdown()) {
      saver.execute(opener::beginClose);
      saver.shutdown();
    }
  }

  /**
   * Closes the store and waits until its folder is unlocked. May be called on any thread.
   *
   * @param timeoutMs maximum time to wait (ms)
   * @return whether the folder is unlocked
   */
  public boolean close(long timeoutMs) {
    saver.shutdown();
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    try {
      saver.awaitTermination(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
    return opener.close(Math.max(1, remainingMs));
  }
}
