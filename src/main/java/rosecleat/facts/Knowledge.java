package rosecleat.facts;

import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Facts under the settings in force: each is judged as it comes in, wherever it comes from, and
 * joined with what is known of the same. For one thread.
 */
public final class Knowledge {
  /** Clocks that differ by so much are the same (us). */
  private static final long SLACK_US = 5_000_000;

  /** A fact that weighs less is worth nothing (samples). */
  private static final double LEAST_WEIGHT = 0.1;

  /** A fact whose terms are not known counts for so much of itself. */
  private static final double UNKNOWN_TERMS = 0.5;

  private final Terms terms;
  private final double halfLifeUs;
  private final Map<Fact.Name, Fact> facts = new LinkedHashMap<>();
  private final Map<Drop, Integer> dropped = new EnumMap<>(Drop.class);

  /** Nothing is known yet; facts in general lose half their weight in {@code halfLifeUs}. */
  public Knowledge(Terms terms, double halfLifeUs) {
    this.terms = terms;
    this.halfLifeUs = halfLifeUs;
  }

  /** Takes in facts of a node at a time. */
  public void take(String node, Collection<Fact> more, long nowUs) {
    for (Fact fact : more) {
      Optional<Drop> why = judge(node, fact, nowUs);
      if (why.isPresent()) {
        dropped.merge(why.get(), 1, Integer::sum);
      } else {
        add(fact, nowUs);
      }
    }
  }

  /** Why a fact of a node can't be used at a time; empty where it can. */
  public Optional<Drop> judge(String node, Fact fact, long nowUs) {
    String now = terms.of(fact.kind(), fact.subject());
    Drop why =
        !node.equals(terms.node())
            ? Drop.OTHER_NODE
            : !Double.isFinite(fact.value()) || !Double.isFinite(fact.weight())
                ? Drop.NOT_FINITE
                : !fact.kind().possible(fact.value())
                        || fact.weight() <= 0
                        || fact.value()
                            > terms.ceilings().getOrDefault(fact.name(), Double.MAX_VALUE)
                    ? Drop.RANGE
                    : now == null
                        ? Drop.GONE
                        : !fact.terms().isEmpty() && !fact.terms().equals(now)
                            ? Drop.OTHER_TERMS
                            : fact.atUs() > nowUs + SLACK_US || fact.atUs() < 0
                                ? Drop.FUTURE
                                : usable(fact, nowUs).weight() < LEAST_WEIGHT ? Drop.AGED : null;
    return Optional.ofNullable(why);
  }

  private Fact usable(Fact fact, long nowUs) {
    double weight =
        Math.min(fact.weight(), fact.kind().mostWeight())
            * (fact.terms().isEmpty() ? UNKNOWN_TERMS : 1);
    return new Fact(
            fact.kind(),
            fact.subject(),
            fact.value(),
            weight,
            Math.min(fact.atUs(), nowUs),
            terms.of(fact.kind(), fact.subject()))
        .agedTo(nowUs, halfLifeUs);
  }

  private void add(Fact fact, long nowUs) {
    facts.merge(fact.name(), usable(fact, nowUs), (a, b) -> a.joined(b, halfLifeUs));
  }

  /**
   * All that is known as of a time, in order of first coming in; what has aged away is not among
   * it.
   */
  public List<Fact> at(long nowUs) {
    return facts.values().stream()
        .map(fact -> fact.agedTo(nowUs, halfLifeUs))
        .filter(fact -> fact.weight() >= LEAST_WEIGHT)
        .toList();
  }

  /** How many facts were dropped, by reason. */
  public Map<Drop, Integer> dropped() {
    return Map.copyOf(dropped);
  }
}
