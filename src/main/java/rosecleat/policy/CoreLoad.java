package rosecleat.policy;

/** Tracks how busy the server's cores are, from its gauges. */
final class CoreLoad {
  /** Time constant of the smoothed values. */
  private static final double SMOOTHING_TIME_CONSTANT_US = 5e5;

  private final PolicyContext context;
  private double utilisation;
  private double contention = 1;
  private double readShare;

  CoreLoad(PolicyContext context) {
    this.context = context;
  }

  /** Returns the share of the cores that was busy recently, as last read. */
  double utilisation() {
    return utilisation;
  }

  /** Returns the demand for cores divided by their number, smoothed; 1 while the demand fits. */
  double contention() {
    return contention;
  }

  /** Returns the share of the cores demanded by reading and connection handling, smoothed. */
  double readShare() {
    return readShare;
  }

  /**
   * Updates the load from gauges that are read {@code gapUs} after the previous ones.
   *
   * @return the current demand for cores divided by their number, at least 1
   */
  double update(ServerGauges gauges, double gapUs, int running) {
    if (gauges.coreUtilisation >= 0) {
      utilisation = gauges.coreUtilisation;
    }
    int cores = context.settings().cores();
    double weight = Math.min(1, gapUs / SMOOTHING_TIME_CONSTANT_US);
    double demand = Math.max(1, Math.max(running, gauges.runnable) / cores);
    contention += weight * (demand - contention);
    double readDemandShare =
        gauges.runnable < 0
            ? 0
            : Math.max(0, gauges.runnable - running) / Math.max(cores, gauges.runnable);
    readShare += weight * (readDemandShare - readShare);
    return demand;
  }
}
