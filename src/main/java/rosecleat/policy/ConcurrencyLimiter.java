package rosecleat.policy;

/** Adapts the limit on concurrent runs to run times, and computes the server's overload limit. */
final class ConcurrencyLimiter {
  /** Additive increase of the limit per step (runs). */
  static final double INCREASE = 1.0;

  /** Multiplicative decrease of the limit per step. */
  private static final double DECREASE_FACTOR = 0.9;

  /** Ratio of current run times, with contention, to the fastest above which the limit falls. */
  private static final double CONGESTED_SLOWNESS = 1.3;

  /** Upper bound of the limit (share of the overload limit). */
  private static final double MAX_OVERLOAD_LIMIT_SHARE = 0.6;

  private final PolicyContext context;
  private final CoreLoad load;
  private final ServiceTimeEstimator serviceTimes;
  private final RequestTable requests;
  private double limit;
  private long startedUs;
  private long lastTickUs;

  ConcurrencyLimiter(
      PolicyContext context,
      CoreLoad load,
      ServiceTimeEstimator serviceTimes,
      RequestTable requests) {
    this.context = context;
    this.load = load;
    this.serviceTimes = serviceTimes;
    this.requests = requests;
    limit = context.settings().cores();
  }

  void start(long nowUs) {
    startedUs = nowUs;
    lastTickUs = nowUs;
  }

  /** Records the current time, from which the warm-up progress of a cold server is computed. */
  void tick(long nowUs) {
    lastTickUs = nowUs;
  }

  /** Returns the limit on concurrent runs, at least one per core. */
  double limit() {
    return limit;
  }

  /** Returns the number of concurrent requests that the server survives, less while it warms up. */
  double overloadLimit() {
    PolicySettings settings = context.settings();
    double warmShare = 1;
    if (settings.coldStart() && settings.warmupUs() > 0) {
      double coldShare = settings.coldCapacity();
      warmShare =
          Math.min(1, coldShare + (1 - coldShare) * (lastTickUs - startedUs) / settings.warmupUs());
    }
    return settings.cores() * (1 + (settings.overloadMultiple() - 1) * warmShare);
  }

  /** Returns whether one more request may run. */
  boolean hasCapacity() {
    // Requests that wait for a downstream call return to the cores, at worst all at the same time,
    // so the overload limit bounds running and waiting requests together.
    return requests.running() < (int) limit
        && requests.running() + requests.atCall() + 1 < overloadLimit();
  }

  /** Adjusts the limit by one step. */
  void adjust() {
    if (load.utilisation() < AdmissionGate.BUSY_UTILISATION
        && !requests.queue().isEmpty()
        && requests.running() >= (int) limit) {
      // Free cores take precedence over long run times: runs that wait for something other than a
      // core are long without causing congestion.
      limit += INCREASE;
    } else if (serviceTimes.slowness() * load.contention() > CONGESTED_SLOWNESS) {
      limit *= DECREASE_FACTOR;
    }
    limit =
        Math.max(
            context.settings().cores(),
            Math.min(limit, MAX_OVERLOAD_LIMIT_SHARE * overloadLimit()));
  }

  /** Raises the limit to one learned by another process, at most to the upper bound. */
  void restore(double learnedLimit) {
    limit = Math.max(limit, Math.min(learnedLimit, MAX_OVERLOAD_LIMIT_SHARE * overloadLimit()));
  }
}
