package rosecleat.policy;

/** Intervals that several parts of the policy share. */
final class PolicyTiming {
  /** Interval of the timer that checks deadlines and reads gauges. */
  static final long TICK_US = 20_000;

  /** Interval at which limits and load signals are adjusted. */
  static final long ADJUST_INTERVAL_US = 100_000;

  /** Time before a deadline from which ticks answer the request: the next tick may be too late. */
  static final long DEADLINE_MARGIN_US = TICK_US;

  private PolicyTiming() {}
}
