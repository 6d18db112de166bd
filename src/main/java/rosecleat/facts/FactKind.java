package rosecleat.facts;

import java.util.Arrays;
import java.util.Optional;

/**
 * The quantity that a fact estimates, with its unit, plausible range, maximum weight and half-life.
 * A working node never learns a value outside the plausible range.
 */
public enum FactKind {
  /** Run time of a request class on otherwise idle cores (us). A sample is one run. */
  RUN_TIME("run-time", SubjectType.CLASS, 1, Unit.HOUR_US, 32, 1),
  /** Typical duration of a downstream call (us). A sample is one call. */
  CALL_TIME("call-time", SubjectType.NODE, 1, Unit.HOUR_US, 64, 1),
  /** Concurrency limit on runs (runs). A sample is one second of operation under this limit. */
  LIMIT("limit", SubjectType.NODE, 1, 1e5, 60, 0.5),
  /**
   * Concurrency limit on downstream calls (calls). A sample is one second of operation under this
   * limit. The half-life is short because the load of the downstream service changes fast.
   */
  CALL_LIMIT("call-limit", SubjectType.NODE, 1, 1e5, 60, 0.1),
  /** A tenant's share of the arrivals (0 to 1). A sample is one arrival. */
  TENANT_PART("tenant-part", SubjectType.TENANT, 0, 1, 128, 0.5);

  /** The type of a fact's subject. */
  public enum SubjectType {
    /** A request class. */
    CLASS,
    /** A tenant. */
    TENANT,
    /** The node itself; the subject is empty. */
    NODE
  }

  /** Constants for the constructor calls of the kinds, which run before static fields are set. */
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

  /** Returns the kind with a stored name; empty if this version does not support the kind. */
  public static Optional<FactKind> fromWireName(String wireName) {
    return Arrays.stream(values()).filter(kind -> kind.wireName.equals(wireName)).findFirst();
  }

  /** Returns the name that is stored and displayed. It must never change. */
  public String wireName() {
    return wireName;
  }

  /** Returns the type of the subjects of this kind. */
  public SubjectType subjectType() {
    return subjectType;
  }

  /** Returns whether a working node can have learned this value; false for NaN. */
  public boolean isPlausible(double value) {
    return value >= minValue && value <= maxValue;
  }

  /**
   * Returns the maximum weight of a fact of this kind (samples). It bounds the number of new
   * samples that are needed to outweigh the fact.
   */
  public double maxWeight() {
    return maxWeight;
  }

  /**
   * Returns the half-life of this kind (us).
   *
   * @param generalHalfLifeUs the configured general half-life of facts (us)
   */
  public double halfLifeUs(double generalHalfLifeUs) {
    return halfLifeFactor * generalHalfLifeUs;
  }
}
