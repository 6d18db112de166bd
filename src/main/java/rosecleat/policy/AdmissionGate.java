package rosecleat.policy;

/**
 * Implements Algorithm 1 of Khojasteh and Mišić: a gate on the smoothed utilisation with random
 * rejection. Above the utilisation threshold a request is admitted with probability F_cf, the
 * filtering coefficient.
 */
final class AdmissionGate {
  /** Weight of the newest offered load in its average, per event; alpha in the paper. */
  private static final double OFFERED_LOAD_WEIGHT = 0.1;

  /** Weight of the newest utilisation in its average, per event; beta in the paper. */
  private static final double UTILISATION_WEIGHT = 0.1;

  /** Average utilisation above which the gate may bind (share of the cores); U_thr in the paper. */
  private static final double UTILISATION_THRESHOLD = 0.75;

  /** Waiting time of the oldest request beyond which the gate binds (share of its objective). */
  private static final double BINDING_WAIT_SHARE = 0.1;

  /** Current utilisation above which the cores count as busy (share of the cores). */
  static final double BUSY_UTILISATION = 0.9;

  /** Smoothed utilisation; u_av in the paper. */
  double averageUtilisation;

  /** Smoothed offered load; rho_av in the paper. */
  double averageOfferedLoad;

  private final PolicyContext context;
  private final CoreLoad load;
  private final RequestRates rates;
  private final RequestTable requests;

  AdmissionGate(PolicyContext context, CoreLoad load, RequestRates rates, RequestTable requests) {
    this.context = context;
    this.load = load;
    this.rates = rates;
    this.requests = requests;
  }

  /** Updates both averages; called at each arrival and each completion. */
  void update() {
    double utilisation = load.utilisation();
    double offeredLoad =
        rates.completions() > 0
            ? utilisation * rates.arrivals() / Math.max(1, rates.completions())
            : utilisation;
    averageOfferedLoad =
        OFFERED_LOAD_WEIGHT * offeredLoad + (1 - OFFERED_LOAD_WEIGHT) * averageOfferedLoad;
    averageUtilisation =
        UTILISATION_WEIGHT * utilisation + (1 - UTILISATION_WEIGHT) * averageUtilisation;
  }

  /**
   * Returns F_cf, the probability of admission, from 0 to 1.
   *
   * @param arrivalShare share of the arrivals that a request competes with; 1 means every arrival,
   *     as in the paper
   */
  double filteringCoefficient(double arrivalShare) {
    double excess = averageOfferedLoad * arrivalShare - UTILISATION_THRESHOLD;
    return Math.max(0, Math.min(1, 1 - excess));
  }

  /**
   * Returns whether the gate binds: the average utilisation exceeds the threshold, the cores are
   * busy now, and the oldest queued request has waited for more than {@link #BINDING_WAIT_SHARE} of
   * its latency objective.
   */
  boolean isBinding() {
    if (averageUtilisation <= UTILISATION_THRESHOLD
        || load.utilisation() <= BUSY_UTILISATION
        || requests.queue().isEmpty()) {
      return false;
    }
    TrackedRequest oldest = requests.queue().get(0);
    return context.nowUs() - oldest.arrivedUs
        > BINDING_WAIT_SHARE * (oldest.objectiveUs - oldest.arrivedUs);
  }
}
