package rosecleat.facts;

import java.util.Arrays;
import java.util.Optional;

/**
 * What a fact estimates, with its unit, its plausible range and how it ages. A value outside the
 * range was never learned by a working node.
 */
public enum FactKind {
  /** Run time of a class on otherwise idle cores (us); samples are runs. */
  RUN_TIME("run-time", SubjectType.CLASS, 1, Unit.HOUR_US, 32, 1),
  /** Usual duration of a downstream call (us); samples are calls. */
  CALL_TIME("call-time", SubjectType.NODE, 1, Unit.HOUR_US, 64, 1),
  /** Concurrency limit on runs (runs); a sample is a second under it. */
  LIMIT("limit", SubjectType.NODE, 1, 1e5, 60, 0.5),
  /**
   * Concurrency limit on downstream calls (calls); a sample is a second under it. Downstream load
   * changes fast, so it ages fast.
   */
  CALL_LIMIT("call-limit", SubjectType.NODE, 1, 1e5, 60, 0.1),
  /** A tenant's share of the arrivals (0 to 1); samples are arrivals. */
  TENANT_PART("tenant-part", SubjectType.TENANT, 0, 1, 128, 0.5);

  /** What a fact describes. */
  public enum SubjectType {
    /** A request class. */
    CLASS,
    /** A tenant. */
    TENANT,
    /** The node itself; the subject is empty. */
    NODE
  }

  /** Holds constants that the kinds need before their own class is initialized. */
  private static final class Unit {
    private static final double HOUR_US = 3_600e6;
  }

  private final String wireName;
  private final SubjectType subjectType;
  private final double minValue;
  private final double maxValue;
  private final double maxWeight;
  private final double halfLifeFactor;

  FactKind(
      String wireName,
      SubjectType subjectType,
      double minValue,
      double maxValue,
      double maxWeight,
      double halfLifeFactor) {
    this.wireName = wireName;
    this.subjectType = subjectType;
    this.minValue = minValue;
    this.maxValue = maxValue;
    this.maxWeight = maxWeight;
    this.halfLifeFactor = halfLifeFactor;
  }

  /** Returns the kind of a stored name; empty where this program does not know it. */
  public static Optional<FactKind> fromWireName(String wireName) {
    return Arrays.stream(values()).filter(kind -> kind.wireName.equals(wireName)).findFirst();
  }

  /** Returns the name that is stored and shown; it never changes. */
  public String wireName() {
    return wireName;
  }

  /** Returns what facts of this kind describe. */
  public SubjectType subjectType() {
    return subjectType;
  }

  /** Whether a working node can have learned such a value; false for NaN. */
  public boolean isPlausible(double value) {
    return value >= minValue && value <= maxValue;
  }

  /**
   * Returns the largest weight of a fact of this kind (samples), so that as many new samples
   * outweigh it.
   */
  public double maxWeight() {
    return maxWeight;
  }

  /**
   * Returns the half-life of this kind (us).
   *
   * @param generalHalfLifeUs the configured half-life of facts in general (us)
   */
  public double halfLifeUs(double generalHalfLifeUs) {
    return halfLifeFactor * generalHalfLifeUs;
  }
}
