package rosecleat.policy;

/** Tells health checks and callers how much the server can take. */
final class LoadAdvisor {
  /** Rise of the level at full excess (rank a second); chosen here. */
  private static final double LEVEL_RISE = 0.25;

  /** Decay of the level (rank a second); chosen here. */
  private static final double LEVEL_DECAY = 0.05;

  /** The level goes no higher while work is done (rank); chosen here. */
  private static final double MAX_LEVEL = 0.98;

  /** What all callers together may have outstanding here (concurrency limits); chosen here. */
  private static final double CREDIT_CONCURRENCY_LIMITS = 64;

  /** Run time over its base from which a server has no credit to spare; chosen here. */
  private static final double REDUCED_CREDIT_SLOWNESS = 3.5;

  /** Run time over its base from which the weight falls; chosen here. */
  private static final double REDUCED_WEIGHT_SLOWNESS = 1.7;

  /** The host is told when the value has moved by so much; chosen here. */
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

  /** The server has started: checks that do real work would take it from requests. */
  void start() {
    context.actions.setHealth(true, true);
  }

  /** The rank below which callers are advised not to send requests here, from 0 to 1. */
  double level() {
    return level;
  }

  /** Moves the level, after so many seconds. */
  void adjustLevel(double seconds) {
    double moved = level + seconds * (LEVEL_RISE * overload.excess() - LEVEL_DECAY);
    level = Math.max(0, Math.min(MAX_LEVEL, moved));
  }

  /** Tells the host what has changed. */
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
   * Credit is for many concurrency limits: callers with none left reject blindly, the queue picks
   * by weight. Harm: more reads, so a server far slower than it was has none to spare.
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
