package rosecleat.policy;

/**
 * Algorithm 1 of Khojasteh and Mišić: a smoothed utilisation gate with random rejection. Above the
 * utilisation threshold a request is admitted with the probability F_cf, the filtering coefficient.
 */
final class AdmissionGate {
  /** Weight of the newest offered load, per event. The paper's alpha; its value is chosen here. */
  private static final double OFFERED_LOAD_WEIGHT = 0.1;

  /** Weight of the newest utilisation, per event. The paper's beta; its value is chosen here. */
  private static final double UTILISATION_WEIGHT = 0.1;

  /** Share of the cores; the paper's U_thr, its value is DESIGN's. */
  private static final double UTILISATION_THRESHOLD = 0.75;

  /** Wait of the oldest request from which the gate binds (part of its objective); DESIGN's. */
  private static final double BINDING_WAIT_SHARE = 0.1;

  /** Utilisation from which the gate binds (share of the cores); DESIGN's. */
  static final double BUSY_UTILISATION = 0.9;

  /** Smoothed utilisation, the paper's u_av. */
  double averageUtilisation;

  /** Smoothed offered load, the paper's rho_av. */
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

  /** Renews the two averages; called at each arrival and departure. */
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
   * F_cf, the probability of admission, from 0 to 1.
   *
   * @param arrivalShare the share of the arrivals that a request competes with; 1 is every arrival,
   *     as in the paper
   */
  double filteringCoefficient(double arrivalShare) {
    double excess = averageOfferedLoad * arrivalShare - UTILISATION_THRESHOLD;
    return Math.max(0, Math.min(1, 1 - excess));
  }

  /**
   * Whether the gate binds: over the threshold, cores busy, and the oldest request kept waiting.
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
