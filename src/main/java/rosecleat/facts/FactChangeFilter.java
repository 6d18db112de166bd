package rosecleat.facts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the facts that are worth writing again: those whose value, weight or settings changed
 * since they were last persisted, and those whose persisted time has become old. Keeps one fact per
 * key; for one thread.
 */
public final class FactChangeFilter {
  /** Relative change of a value up to which it counts as unchanged. */
  private static final double VALUE_TOLERANCE = 0.02;

  /** Relative change of a weight up to which it counts as unchanged. */
  private static final double WEIGHT_TOLERANCE = 0.25;

  /**
   * Part of a fact's half-life after which it is written again although nothing changed: otherwise
   * a reader would take it for older than it is.
   */
  private static final double REFRESH_AFTER_HALF_LIVES = 0.05;

  private final Map<Fact.Key, Fact> persisted = new HashMap<>();

  /**
   * Returns the facts among the current ones that have to be written, in their order. Facts that
   * are no longer current are forgotten.
   *
   * @param current all facts as of now
   * @param halfLifeUs half-life of facts in general (us)
   */
  public List<Fact> changed(Collection<Fact> current, double halfLifeUs) {
    List<Fact> changed = new ArrayList<>();
    Set<Fact.Key> currentKeys = new HashSet<>();
    for (Fact fact : current) {
      currentKeys.add(fact.key());
      Fact before = persisted.get(fact.key());
      if (before == null || differs(before, fact, halfLifeUs)) {
        changed.add(fact);
      }
    }
    persisted.keySet().retainAll(currentKeys);
    return changed;
  }

  private static boolean differs(Fact before, Fact now, double halfLifeUs) {
    return !before.settingsDigest().equals(now.settingsDigest())
        || Math.abs(now.value() - before.value()) > VALUE_TOLERANCE * Math.abs(before.value())
        || Math.abs(now.weight() - before.weight()) > WEIGHT_TOLERANCE * before.weight()
        || now.learnedAtUs() - before.learnedAtUs()
            > REFRESH_AFTER_HALF_LIVES * now.kind().halfLifeUs(halfLifeUs);
  }

  /** Notes that these facts are on disk. */
  public void markPersisted(Collection<Fact> facts) {
    facts.forEach(fact -> persisted.put(fact.key(), fact));
  }

  /** Forgets what was persisted, so that every fact counts as changed. */
  public void reset() {
    persisted.clear();
  }
}
