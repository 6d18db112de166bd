package rosecleat.policy;

/** Counts the memory of requests and remembered keys (KB) and guards the server's limit. */
final class MemoryBudget {
  /** Share of the memory that runs and keys may fill; chosen here. */
  private static final double RUN_SHARE = 0.92;

  /** Share of the memory above which arrivals are rejected; chosen here. */
  private static final double ADMIT_SHARE = 0.85;

  private final PolicyContext context;
  private double usedKb;

  MemoryBudget(PolicyContext context) {
    this.context = context;
  }

  double usedKb() {
    return usedKb;
  }

  void add(double memoryKb) {
    usedKb += memoryKb;
  }

  void release(double memoryKb) {
    usedKb -= memoryKb;
  }

  /** Whether too much is used to take any further request in. */
  boolean isFull() {
    return usedKb > ADMIT_SHARE * context.settings().memoryKb();
  }

  /** Whether there is memory for one more key that must be remembered. */
  boolean hasCapacityForKey() {
    PolicySettings settings = context.settings();
    return usedKb + settings.keyKb() <= RUN_SHARE * settings.memoryKb();
  }

  /** Whether there is memory to spare for one more key that need not be remembered. */
  boolean canSpareKey() {
    PolicySettings settings = context.settings();
    return usedKb + settings.keyKb() <= ADMIT_SHARE * settings.memoryKb();
  }

  /** Whether a queued request can be run within the memory there is. */
  boolean hasCapacityToRun(TrackedRequest tracked) {
    PolicySettings settings = context.settings();
    double runningKb = settings.runMemoryFactor() * tracked.request.queuedKb();
    return usedKb + runningKb - tracked.memoryKb <= RUN_SHARE * settings.memoryKb();
  }

  /** Counts a queued request as a running one. */
  void grow(TrackedRequest tracked) {
    double runningKb = context.settings().runMemoryFactor() * tracked.request.queuedKb();
    usedKb += runningKb - tracked.memoryKb;
    tracked.memoryKb = runningKb;
  }
}
