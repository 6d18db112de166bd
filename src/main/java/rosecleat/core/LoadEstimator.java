package rosecleat.core;

import rosecleat.policy.PolicyEvent;

/**
 * Estimates the load if no runtime reports gauges, assuming that each run occupies one core.
 * Smooths the utilisation over time. For the core's thread.
 */
final class LoadEstimator {
  /**
   * Time since the previous update from which on the current load replaces the estimate completely
   * (us). After a shorter time, the current load has a proportionally smaller weight.
   */
  private static final double SMOOTHING_WINDOW_US = 500_000;

  private double utilisation;
  private long updatedUs;

  /** Updates the estimate with the current number of runs in progress. */
  PolicyEvent.LoadMeasured update(long nowUs, long running, int cores) {
    double weight = Math.min(1, (nowUs - updatedUs) / SMOOTHING_WINDOW_US);
    utilisation += weight * (Math.min(1, (double) running / cores) - utilisation);
    updatedUs = nowUs;
    return new PolicyEvent.LoadMeasured(utilisation, running);
  }
}
