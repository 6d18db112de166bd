package rosecleat.facts;

/**
 * An estimate that a node has learned. Immutable.
 *
 * @param kind what is estimated
 * @param subject the class or tenant that the fact describes; empty for the node itself
 * @param value the estimate, in the kind's unit
 * @param weight the number of samples behind the estimate, as of {@code learnedAtUs}
 * @param learnedAtUs when the estimate was learned (Unix microseconds)
 * @param settingsDigest digest of the settings under which the estimate was learned; empty if
 *     unknown
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
   * Returns this fact as of a later time: its weight halves with each half-life. Returns this fact
   * unchanged if the time is before {@code learnedAtUs}.
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
   * Merges two facts of the same key into their weighted mean. Both are first decayed to the later
   * of their times, so that many old samples do not outweigh a few new ones. The resulting weight
   * is the sum of the weights, bounded by the kind's maximum weight.
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
