package rosecleat.policy;

/** Notices that the work on the cores stands still, whatever the cause. */
final class StallGuard {
  /** So many overdue completions are a stall; chosen here. */
  private static final double OVERDUE_COMPLETIONS = 12;

  /** The shortest stall (us); chosen here. */
  private static final long MIN_STALL_US = 700_000;

  /** A timer so late means that the process itself stood still (us); chosen here. */
  private static final long PROCESS_PAUSE_US = 5 * PolicyTiming.TICK_US;

  private final PolicyContext context;
  private final RequestTable requests;
  private final CoreLoad load;
  private final ServiceTimeEstimator serviceTimes;
  private final ServerAvailability availability;
  private double overdueCompletions;
  private long lastEndUs;

  StallGuard(
      PolicyContext context,
      RequestTable requests,
      CoreLoad load,
      ServiceTimeEstimator serviceTimes,
      ServerAvailability availability) {
    this.context = context;
    this.requests = requests;
    this.load = load;
    this.serviceTimes = serviceTimes;
    this.availability = availability;
  }

  void start(long nowUs) {
    lastEndUs = nowUs;
  }

  /** A run has ended: a stall is over. */
  void runEnded() {
    lastEndUs = context.nowUs();
    overdueCompletions = 0;
    if (availability.isStalled()) {
      availability.setStalled(false);
      context.actions.log("work moves again");
    }
  }

  /**
   * Counts the completions that were to be expected since the last tick.
   *
   * @param gapUs time since the last tick
   * @param demand what wants the cores over the cores right now
   * @return whether a stall has begun; the requests that wait are to be given back
   */
  boolean tick(double gapUs, double demand) {
    if (gapUs > PROCESS_PAUSE_US) {
      overdueCompletions = 0;
      lastEndUs = context.nowUs();
      return false;
    }
    int running = requests.running();
    double expected = expectedCompletions(gapUs, demand);
    overdueCompletions = running == 0 ? 0 : overdueCompletions + expected;
    boolean manyOverdue =
        running >= context.settings().cores() && overdueCompletions > OVERDUE_COMPLETIONS;
    if (availability.isStalled() || !manyOverdue || context.nowUs() - lastEndUs <= MIN_STALL_US) {
      return false;
    }
    availability.setStalled(true);
    context.actions.log(
        "work stands still with "
            + running
            + " on the cores, "
            + Math.round(100 * load.utilisation())
            + "% busy");
    return true;
  }

  private double expectedCompletions(double gapUs, double demand) {
    double completions = 0;
    for (TrackedRequest tracked : requests.active()) {
      if (tracked.state == RequestState.RUNNING) {
        completions += gapUs / Math.max(PolicyTiming.TICK_US, expectedRunTime(tracked, demand));
      }
    }
    return completions;
  }

  /** The expected run time; before a class is known, its latency objective stands in. */
  private double expectedRunTime(TrackedRequest tracked, double demand) {
    double runTimeUs =
        serviceTimes.hasEnoughRuns(tracked.request.classIndex())
            ? serviceTimes.expectedRunTime(tracked)
            : tracked.priorityClass.latencyObjectiveUs() * load.contention();
    return runTimeUs * Math.max(1, demand / load.contention());
  }
}
