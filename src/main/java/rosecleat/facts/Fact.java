package rosecleat.facts;

/**
 * Something learnt.
 *
 * @param kind what it says
 * @param subject the class or tenant it is about; empty for the node itself
 * @param value in the kind's unit
 * @param weight how many samples it rests on, as of {@code atUs}
 * @param atUs when it was learnt, Unix microseconds
 * @param terms a digest of the settings it was learnt under; empty where that is not known
 */
public record Fact(
    Kind kind, String subject, double value, double weight, long atUs, String terms) {
  /** What a fact is known by: of each there is one. */
  public record Name(Kind kind, String subject) {}

  /** What it is known by. */
  public Name name() {
    return new Name(kind, subject);
  }

  /**
   * The same as of a later time: its weight halves with each half-life. An earlier time changes
   * nothing.
   */
  public Fact agedTo(long nowUs, double halfLifeUs) {
    double age = Math.max(0, nowUs - atUs) / kind.halfLife(halfLifeUs);
    return age == 0
        ? this
        : new Fact(kind, subject, value, weight * Math.pow(0.5, age), Math.max(nowUs, atUs), terms);
  }

  /**
   * This and another of the same name as one: the mean by weight, both as of the later time. Guards
   * a thousand samples from one that is newer. The weights add up to the kind's most.
   */
  public Fact joined(Fact other, double halfLifeUs) {
    long at = Math.max(atUs, other.atUs);
    Fact a = agedTo(at, halfLifeUs);
    Fact b = other.agedTo(at, halfLifeUs);
    double sum = a.weight + b.weight;
    if (sum <= 0) {
      return a;
    }
    return new Fact(
        kind,
        subject,
        (a.value * a.weight + b.value * b.weight) / sum,
        Math.min(sum, kind.mostWeight()),
        at,
        atUs >= other.atUs ? terms : other.terms);
  }
}
