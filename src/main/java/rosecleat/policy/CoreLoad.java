package rosecleat.policy;

/** How busy the server's cores are, from its gauges. */
final class CoreLoad {
  /** Time constant of the smoothed values (us); chosen here. */
  private static final double SMOOTHING_TIME_CONSTANT_US = 5e5;

  private final PolicyContext context;
  private double utilisation;
  private double contention = 1;
  private double readShare;

  CoreLoad(PolicyContext context) {
    this.context = context;
  }

  /** Share of the cores that was busy of late, as last read. */
  double utilisation() {
    return utilisation;
  }

  /** What wants the cores over the cores, smoothed; 1 while all of it fits. */
  double contention() {
    return contention;
  }

  /** Share of the cores that reading and connections want, smoothed. */
  double readShare() {
    return readShare;
  }

  /**
   * Takes the gauges in, {@code gapUs} after the last time.
   *
   * @return what wants the cores over the cores right now, at least 1
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
