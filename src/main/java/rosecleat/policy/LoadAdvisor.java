package rosecleat.policy;

/** Reports the server's health to health checks and load advice to callers. */
final class LoadAdvisor {
  /** Increase of the level at full excess (rank per second). */
  private static final double LEVEL_RISE = 0.25;

  /** Constant decrease of the level (rank per second). */
  private static final double LEVEL_DECAY = 0.05;

  /** Maximum level while the server accepts requests (rank). */
  private static final double MAX_LEVEL = 0.98;

  /** Credit of all callers together, as a multiple of the concurrency limit. */
  private static final double CREDIT_CONCURRENCY_LIMITS = 64;

  /** Slowness, as run time over its base, above which all credit is one concurrency limit. */
  private static final double REDUCED_CREDIT_SLOWNESS = 3.5;

  /** Slowness, as run time over its base, above which the weight falls. */
  private static final double REDUCED_WEIGHT_SLOWNESS = 1.7;

  /** Absolute change from which a new value is reported to the host. */
  private static final double MIN_REPORTED_CHANGE = 0.01;

  private final PolicyContext context;
  private final ServerAvailability availability;
  private final OverloadEstimator overload;
  private final ServiceTimeEstimator serviceTimes;
  private final ConcurrencyLimiter concurrency;
  private double level;
  private double reported = Double.NaN;
  private boolean healthy = true;

  LoadAdvisor(
      PolicyContext context,
      ServerAvailability availability,
      OverloadEstimator overload,
      ServiceTimeEstimator serviceTimes,
      ConcurrencyLimiter concurrency) {
    this.context = context;
    this.availability = availability;
    this.overload = overload;
    this.serviceTimes = serviceTimes;
    this.concurrency = concurrency;
  }

  /**
   * Reports a healthy server. Health checks stay shallow, since checks that do real work would take
   * capacity from requests.
   */
  void start() {
    context.actions.setHealth(true, true);
  }

  /** Returns the rank from 0 to 1 below which callers are advised not to send requests here. */
  double level() {
    return level;
  }

  /** Adjusts the level for the time since the last adjustment. */
  void adjustLevel(double seconds) {
    double moved = level + seconds * (LEVEL_RISE * overload.excess() - LEVEL_DECAY);
    level = Math.max(0, Math.min(MAX_LEVEL, moved));
  }

  /** Reports changes of health and load advice to the host. */
  void reportChanges() {
    boolean closed = availability.isClosed();
    if (healthy == closed) {
      healthy = !closed;
      context.actions.setHealth(healthy, true);
    }
    LoadAdviceMode mode = context.settings().loadAdviceMode();
    if (mode == LoadAdviceMode.OFF) {
      return;
    }
    double value =
        switch (mode) {
          case LEVEL -> closed ? 1 : level;
          case CREDIT -> closed ? 0 : credit();
          case WEIGHT -> closed ? 0 : weight();
          default -> Double.NaN;
        };
    if (!(Math.abs(value - reported) < MIN_REPORTED_CHANGE)) {
      reported = value;
      context.actions.setLoadAdvice(value);
    }
  }

  /**
   * Returns the credit of each caller. All callers together get credit for many concurrency limits,
   * since a caller without credit turns requests away regardless of their weight, whereas this
   * server's queue selects by weight. Trade-off: this server reads more requests, so a server that
   * is far slower than at its best gives credit for one concurrency limit only.
   */
  private double credit() {
    double limits =
        serviceTimes.slowness() > REDUCED_CREDIT_SLOWNESS ? 1 : CREDIT_CONCURRENCY_LIMITS;
    double perCaller = limits * concurrency.limit() / Math.max(1, context.settings().callers());
    return (1 - overload.rejectionRate()) * Math.max(overload.rejectsSeldom() ? 1 : 0, perCaller);
  }

  private double weight() {
    double slowness = serviceTimes.slowness();
    return slowness > REDUCED_WEIGHT_SLOWNESS ? 1 / slowness : 1;
  }
}
