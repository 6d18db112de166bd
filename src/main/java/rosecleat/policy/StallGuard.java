package rosecleat.policy;

/** Detects that runs on the cores no longer complete, whatever the cause. */
final class StallGuard {
  /** Number of overdue completions above which the server counts as stalled. */
  private static final double OVERDUE_COMPLETIONS = 12;

  /** Minimum time without a completion before a stall is reported. */
  private static final long MIN_STALL_US = 700_000;

  /** Gap between ticks above which this process itself was paused. */
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

  /** Records that a run has ended, which ends a stall. */
  void runEnded() {
    lastEndUs = context.nowUs();
    overdueCompletions = 0;
    if (availability.isStalled()) {
      availability.setStalled(false);
      context.actions.log("requests complete again after a stall");
    }
  }

  /**
   * Counts the completions that were expected since the last tick. A pause of this process restarts
   * the count.
   *
   * @param gapUs time since the last tick (us)
   * @param demand current demand for cores divided by their number, at least 1
   * @return whether a stall has begun; the caller must then answer the queued requests
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
        "requests stalled: "
            + running
            + " running, none completes, cores "
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

  /** Returns the expected run time (us), or the latency objective before the class is known. */
  private double expectedRunTime(TrackedRequest tracked, double demand) {
    double runTimeUs =
        serviceTimes.hasEnoughRuns(tracked.request.classIndex())
            ? serviceTimes.expectedRunTime(tracked)
            : tracked.priorityClass.latencyObjectiveUs() * load.contention();
    return runTimeUs * Math.max(1, demand / load.contention());
  }
}
