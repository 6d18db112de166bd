package rosecleat.facts;

import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Collects the facts that are valid under the current settings: checks each fact when it is added
 * and merges facts of the same key. For one thread.
 */
public final class FactAggregator {
  /** Tolerated difference between the clocks of two processes (us). */
  private static final long CLOCK_SKEW_US = 5_000_000;

  /** Weight below which a fact is discarded (samples). */
  private static final double MIN_WEIGHT = 0.1;

  /** Factor by which the weight of a fact is reduced if its settings are unknown. */
  private static final double UNKNOWN_SETTINGS_FACTOR = 0.5;

  private final SettingsDigests settings;
  private final double halfLifeUs;
  private final Map<Fact.Key, Fact> facts = new LinkedHashMap<>();
  private final Map<RejectionReason, Integer> rejections = new EnumMap<>(RejectionReason.class);

  /**
   * Creates an aggregator without facts.
   *
   * @param settings the current settings
   * @param halfLifeUs general half-life of facts (us), which kinds scale
   */
  public FactAggregator(SettingsDigests settings, double halfLifeUs) {
    this.settings = settings;
    this.halfLifeUs = halfLifeUs;
  }

  /** Adds the facts of a node that are usable at a time, and counts those that are rejected. */
  public void add(String node, Collection<Fact> added, long nowUs) {
    for (Fact fact : added) {
      Optional<RejectionReason> rejection = rejectionOf(node, fact, nowUs);
      if (rejection.isPresent()) {
        rejections.merge(rejection.get(), 1, Integer::sum);
      } else {
        facts.merge(
            fact.key(),
            adjusted(fact, nowUs),
            (first, second) -> first.mergedWith(second, halfLifeUs));
      }
    }
  }

  /** Returns why a fact of a node is not usable at a time; empty if it is usable. */
  public Optional<RejectionReason> rejectionOf(String node, Fact fact, long nowUs) {
    if (!node.equals(settings.node())) {
      return Optional.of(RejectionReason.OTHER_NODE);
    }
    if (!Double.isFinite(fact.value()) || !Double.isFinite(fact.weight())) {
      return Optional.of(RejectionReason.NOT_FINITE);
    }
    if (!inRange(fact)) {
      return Optional.of(RejectionReason.RANGE);
    }
    Optional<String> currentDigest = settings.digestOf(fact.kind(), fact.subject());
    if (currentDigest.isEmpty()) {
      return Optional.of(RejectionReason.GONE);
    }
    if (!fact.settingsDigest().isEmpty() && !fact.settingsDigest().equals(currentDigest.get())) {
      return Optional.of(RejectionReason.OTHER_TERMS);
    }
    if (fact.learnedAtUs() > nowUs + CLOCK_SKEW_US || fact.learnedAtUs() < 0) {
      return Optional.of(RejectionReason.FUTURE);
    }
    if (adjusted(fact, nowUs).weight() < MIN_WEIGHT) {
      return Optional.of(RejectionReason.AGED);
    }
    return Optional.empty();
  }

  private boolean inRange(Fact fact) {
    return fact.kind().isPlausible(fact.value())
        && fact.weight() > 0
        && fact.value() <= settings.maxValues().getOrDefault(fact.key(), Double.MAX_VALUE);
  }

  /** Bounds a fact's weight and time, assigns the current settings digest and decays the fact. */
  private Fact adjusted(Fact fact, long nowUs) {
    double weight =
        Math.min(fact.weight(), fact.kind().maxWeight())
            * (fact.settingsDigest().isEmpty() ? UNKNOWN_SETTINGS_FACTOR : 1);
    return new Fact(
            fact.kind(),
            fact.subject(),
            fact.value(),
            weight,
            Math.min(fact.learnedAtUs(), nowUs),
            settings.digestOf(fact.kind(), fact.subject()).orElseThrow())
        .decayedTo(nowUs, halfLifeUs);
  }

  /**
   * Returns the facts as of a time, in the order in which their keys were first added. Omits facts
   * whose weight has decayed below the minimum.
   */
  public List<Fact> factsAt(long nowUs) {
    return facts.values().stream()
        .map(fact -> fact.decayedTo(nowUs, halfLifeUs))
        .filter(fact -> fact.weight() >= MIN_WEIGHT)
        .toList();
  }

  /** Returns the number of rejected facts by reason. */
  public Map<RejectionReason, Integer> rejections() {
    return Map.copyOf(rejections);
  }
}
