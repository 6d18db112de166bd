package rosecleat.facts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the facts that must be persisted again: those whose value, weight or settings have
 * changed since they were last persisted, and those whose persisted time is too old. Stores one
 * fact per key. For one thread.
 */
public final class FactChangeFilter {
  /** Relative change of a value up to which it counts as unchanged. */
  private static final double VALUE_TOLERANCE = 0.02;

  /** Relative change of a weight up to which it counts as unchanged. */
  private static final double WEIGHT_TOLERANCE = 0.25;

  /**
   * Age of a persisted fact from which on it is persisted again without any other change, as a
   * fraction of its half-life. Otherwise a reader would consider the fact older than it is and
   * decay it too much.
   */
  private static final double REFRESH_AFTER_HALF_LIVES = 0.05;

  private final Map<Fact.Key, Fact> persisted = new HashMap<>();

  /**
   * Returns the current facts that must be persisted again, in the given order. Discards what was
   * stored about facts that are no longer current.
   *
   * @param current all facts as of now
   * @param halfLifeUs general half-life of facts (us), which kinds scale
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

  /** Records that these facts have been persisted. */
  public void markPersisted(Collection<Fact> facts) {
    facts.forEach(fact -> persisted.put(fact.key(), fact));
  }

  /** Discards the record of persisted facts, so that every fact counts as changed. */
  public void reset() {
    persisted.clear();
  }
}
