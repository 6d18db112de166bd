package rosecleat.policy;

/** What an {@link Estimate} is about: its unit, and what its samples are. */
public enum EstimateKind {
  /** The run time of a class alone on the cores (us); runs. */
  RUN_TIME,
  /** The usual length of a downstream call (us); calls. */
  CALL_TIME,
  /**
   * The usual concurrency limit while half of it or more was in use (runs); seconds of such use.
   */
  LIMIT,
  /** The limit on concurrent downstream calls (calls); seconds. */
  CALL_LIMIT,
  /** A tenant's share of the arrivals; arrivals. */
  TENANT_PART
}
