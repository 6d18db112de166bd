package rosecleat.state;

import java.util.List;
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
import rosecleat.facts.FactKind;
import rosecleat.facts.SettingsDigests;
import rosecleat.log.Log;
import rosecleat.policy.ClassAndTenantNames;
import rosecleat.policy.Estimate;
import rosecleat.policy.EstimateKind;
import rosecleat.policy.PolicyEngine;
import rosecleat.store.Recovered;
import rosecleat.store.Store;

/**
 * What a node has learnt, kept in a folder that outlasts it. Until that is open, or where it can't
 * be, the node works as one without. A process beside one that writes begins with what it read. For
 * the loop, but for {@link #close}.
 */
public final class Memory {
  /** How facts are kept (us). */
  public record Settings(long everyUs, long halfLifeUs) {}

  /**
   * The node's side: its settings as terms, the names in force, its decisions, its clock and its
   * one thread.
   */
  public record Node(
      Supplier<SettingsDigests> terms,
      Supplier<ClassAndTenantNames> names,
      PolicyEngine decisions,
      LongSupplier clock,
      Consumer<Runnable> loop) {}

  private final Node node;
  private final Counters counters;
  private final Log log;
  private final FactChangeFilter changes = new FactChangeFilter(); // the saver's
  private final AtomicBoolean saving =
      new AtomicBoolean(); // one at a time: a slow one costs the next
  private final ExecutorService saver =
      Executors.newSingleThreadExecutor(
          task -> {
            Thread thread = new Thread(task, "state saver");
            thread.setDaemon(true);
            return thread;
          });
  private final Opener opener;
  private Settings settings;
  private boolean opened;
  private boolean given;
  private long nextSaveUs;
  private boolean behind;

  /** What a node keeps by an opener, that begins to hear what it finds. */
  public Memory(Settings settings, Opener opener, Node node, Counters counters, Log log) {
    this.settings = settings;
    this.opener = opener;
    this.node = node;
    this.counters = counters;
    this.log = log;
    opener.tell(found -> node.loop.accept(() -> give(found)));
  }

  /** Other settings from now on. */
  public void use(Settings fresh) {
    settings = fresh;
  }

  /** The module is given what was found, once it has begun at the latest. */
  private void give(Recovered found) {
    if (!opened && opener.store() != null) {
      opened = true;
      counters.add("state.opened");
      counters.add("state.findings", found.findings().size());
    }
    if (given && node.decisions.started()) {
      return;
    }
    given = true;
    List<FactOwner.Kept> kept = ((FactOwner.Facts) found.fold()).all();
    node.decisions.restore(node.names.get(), () -> lessons(kept, node.clock.getAsLong()));
  }

  private List<Estimate> lessons(List<FactOwner.Kept> kept, long nowUs) {
    FactAggregator aggregator = new FactAggregator(node.terms.get(), settings.halfLifeUs());
    kept.forEach(each -> aggregator.add(each.node(), List.of(each.fact()), nowUs));
    List<Fact> facts = aggregator.factsAt(nowUs);
    counters.add("state.taken", facts.size());
    aggregator
        .rejections()
        .forEach(
            (why, count) ->
                counters.add(
                    "state.dropped." + why.name().toLowerCase(java.util.Locale.ROOT), count));
    if (!kept.isEmpty()) {
      log.info(
          "state: begins with "
              + facts.size()
              + " facts of "
              + kept.size()
              + (aggregator.rejections().isEmpty() ? "" : ", dropped " + aggregator.rejections()));
    }
    return facts.stream()
        .map(
            f ->
                new Estimate(
                    EstimateKind.valueOf(f.kind().name()), f.subject(), f.value(), f.weight()))
        .toList();
  }

  /** Writes down what has changed, where it is time; called every so often. */
  public void look(long nowUs) {
    if (nowUs >= nextSaveUs) {
      nextSaveUs = nowUs + settings.everyUs();
      save(nowUs);
    }
  }

  /**
   * Writes down what has changed, now. Only what was learnt is copied here: all else is done on a
   * thread of its own.
   */
  public void save(long nowUs) {
    Store to = opener.store();
    if (to == null
        || !given
        || !node.decisions.started()
        || saver.isShutdown()
        || !saving.compareAndSet(false, true)) {
      return;
    }
    List<Estimate> lessons = node.decisions.estimates(node.names.get());
    SettingsDigests terms = node.terms.get();
    double halfLifeUs = settings.halfLifeUs();
    saver.execute(
        () -> {
          try {
            write(to, lessons, terms, halfLifeUs, nowUs);
          } finally {
            saving.set(false);
          }
        });
  }

  private void write(
      Store to, List<Estimate> lessons, SettingsDigests terms, double halfLifeUs, long nowUs) {
    List<Fact> facts =
        lessons.stream()
            .map(l -> fact(l, terms, nowUs))
            .filter(
                f ->
                    terms.digestOf(f.kind(), f.subject()).isPresent()
                        && f.kind().isPlausible(f.value())
                        && f.weight() > 0)
            .toList();
    List<Fact> news = changes.changed(facts, halfLifeUs);
    if (news.isEmpty()) {
      return;
    }
    Store.Taken taken =
        to.append(
            List.of(FactCodec.entry(terms.node(), news)),
            fault -> node.loop.accept(() -> saved(news, fault)));
    if (taken == Store.Taken.FULL) {
      node.loop.accept(() -> counters.add("state.full"));
    }
  }

  private static Fact fact(Estimate estimate, SettingsDigests terms, long nowUs) {
    FactKind kind = FactKind.valueOf(estimate.kind().name());
    String digest = terms.digestOf(kind, estimate.subject()).orElse("");
    return new Fact(
        kind,
        estimate.subject(),
        estimate.value(),
        Math.min(estimate.samples(), kind.maxWeight()),
        nowUs,
        digest);
  }

  private void saved(List<Fact> facts, String fault) {
    counters.add(fault == null ? "state.saves" : "state.failures");
    if (fault == null && !saver.isShutdown()) {
      saver.execute(() -> changes.markPersisted(facts));
    }
    if (behind != (fault != null)) {
      behind = fault != null;
      log.warn(
          behind
              ? "state: what is learnt is not written down: " + fault
              : "state: written down again");
    }
  }

  /** The last save; then the folder is free for another process. */
  public void leave(long nowUs) {
    save(nowUs);
    if (!saver.isShutdown()) {
      saver.execute(opener::end);
      saver.shutdown();
    }
  }

  /** Waits so long at the most (ms) until the folder is free; for any thread. */
  public boolean close(long mostMs) {
    saver.shutdown();
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
    try {
      saver.awaitTermination(mostMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return opener.close(Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
  }
}
