package rosecleat.facts;

/**
 * A learned estimate. Immutable.
 *
 * @param kind what is estimated
 * @param subject the class or tenant it describes; empty for the node itself
 * @param value the estimate, in the kind's unit
 * @param weight how many samples it rests on, as of {@code learnedAtUs}
 * @param learnedAtUs when it was learned (Unix microseconds)
 * @param settingsDigest digest of the settings it was learned under; empty where unknown
 */
public record Fact(
    FactKind kind,
    String subject,
    double value,
    double weight,
    long learnedAtUs,
    String settingsDigest) {
  /** Identifies a fact within a node: there is at most one fact per key. */
  public record Key(FactKind kind, String subject) {}

  /** Returns the key of this fact. */
  public Key key() {
    return new Key(kind, subject);
  }

  /**
   * Returns this fact as of a later time: its weight halves with each half-life. A time before the
   * fact's own changes nothing.
   *
   * @param nowUs the later time (Unix microseconds)
   * @param halfLifeUs half-life of facts in general (us)
   */
  public Fact decayedTo(long nowUs, double halfLifeUs) {
    double halfLives = Math.max(0, nowUs - learnedAtUs) / kind.halfLifeUs(halfLifeUs);
    if (halfLives == 0) {
      return this;
    }
    return new Fact(
        kind,
        subject,
        value,
        weight * Math.pow(0.5, halfLives),
        Math.max(nowUs, learnedAtUs),
        settingsDigest);
  }

  /**
   * Merges two facts of the same key: the mean by weight, both decayed to the later of their times,
   * so that many old samples do not outweigh few new ones. The weights add up to the kind's maximum
   * at most.
   */
  public Fact mergedWith(Fact other, double halfLifeUs) {
    long latestUs = Math.max(learnedAtUs, other.learnedAtUs);
    Fact first = decayedTo(latestUs, halfLifeUs);
    Fact second = other.decayedTo(latestUs, halfLifeUs);
    double totalWeight = first.weight + second.weight;
    if (totalWeight <= 0) {
      return first;
    }
    return new Fact(
        kind,
        subject,
        (first.value * first.weight + second.value * second.weight) / totalWeight,
        Math.min(totalWeight, kind.maxWeight()),
        latestUs,
        learnedAtUs >= other.learnedAtUs ? settingsDigest : other.settingsDigest);
  }
}
