package rosecleat.policy;

/** The limit on concurrent runs, led by run times, and the overload limit of the server. */
final class ConcurrencyLimiter {
  /** One step up of the limit (runs); chosen here. */
  static final double INCREASE = 1.0;

  /** One step down of the limit (factor); chosen here. */
  private static final double DECREASE_FACTOR = 0.9;

  /** Run time over its base from which the limit falls; chosen here. */
  private static final double CONGESTED_SLOWNESS = 1.3;

  /** Ceiling of the limit (part of the overload limit); chosen here. */
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

  /** Notes the time up to which a cold server has warmed up. */
  void tick(long nowUs) {
    lastTickUs = nowUs;
  }

  /** The limit on concurrent runs, at least one a core. */
  double limit() {
    return limit;
  }

  /** How many concurrent requests the server survives, fewer while it warms up. */
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

  /** Whether one more request may run. */
  boolean hasCapacity() {
    // requests at a call come back to the cores, at worst all at once: one limit bounds both
    return requests.running() < (int) limit
        && requests.running() + requests.atCall() + 1 < overloadLimit();
  }

  /** Moves the limit by one step. */
  void adjust() {
    if (load.utilisation() < AdmissionGate.BUSY_UTILISATION
        && !requests.queue().isEmpty()
        && requests.running() >= (int) limit) {
      // free cores come first: runs that wait for something else are long but do not congest
      limit += INCREASE;
    } else if (serviceTimes.slowness() * load.contention() > CONGESTED_SLOWNESS) {
      limit *= DECREASE_FACTOR;
    }
    limit =
        Math.max(
            context.settings().cores(),
            Math.min(limit, MAX_OVERLOAD_LIMIT_SHARE * overloadLimit()));
  }

  /** Takes in a limit learned elsewhere, never over the ceiling. */
  void restore(double learnedLimit) {
    limit = Math.max(limit, Math.min(learnedLimit, MAX_OVERLOAD_LIMIT_SHARE * overloadLimit()));
  }
}
