package rosecleat.policy;

/** The quantity of an {@link Estimate}, with the unit of its value and of its samples. */
public enum EstimateKind {
  /** Run time of a class without contention for the cores (us); samples are runs. */
  RUN_TIME,
  /** Typical duration of a downstream call (us); samples are calls. */
  CALL_TIME,
  /**
   * Typical concurrency limit while at least half of it was in use (runs); samples are seconds of
   * such use.
   */
  LIMIT,
  /** Limit on concurrent downstream calls (calls); samples are the seconds of {@link #LIMIT}. */
  CALL_LIMIT,
  /** A tenant's share of the arrivals, from 0 to 1; samples are arrivals. */
  TENANT_PART
}
