package rosecleat.policy;

/** Intervals that several parts of the policy share. */
final class PolicyTiming {
  /** Interval of the timer that checks deadlines and reads gauges (us); chosen here. */
  static final long TICK_US = 20_000;

  /** Interval at which limits and load signals are adjusted (us); chosen here. */
  static final long ADJUST_INTERVAL_US = 100_000;

  /** Answers by timer are given at most so much before the deadline (us); chosen here. */
  static final long DEADLINE_MARGIN_US = TICK_US;

  private PolicyTiming() {}
}
