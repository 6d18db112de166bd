package rosecleat.core;

import rosecleat.policy.PolicyEvent;

/**
 * Estimates the load where no runtime reports gauges: each run is assumed to keep one core busy.
 * Smooths the utilisation over time. For the core's thread.
 */
final class LoadEstimator {
  /** A change of load counts in full after so long (us). */
  private static final double SMOOTHING_WINDOW_US = 500_000;

  private double utilisation;
  private long updatedUs;

  /** Updates the estimate with the number of runs in progress now. */
  PolicyEvent.LoadMeasured update(long nowUs, long running, int cores) {
    double weight = Math.min(1, (nowUs - updatedUs) / SMOOTHING_WINDOW_US);
    utilisation += weight * (Math.min(1, (double) running / cores) - utilisation);
    updatedUs = nowUs;
    return new PolicyEvent.LoadMeasured(utilisation, running);
  }
}
