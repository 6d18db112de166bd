package rosecleat.policy;

/** Counts the memory of requests and stored keys (KB) and keeps it within the server's limit. */
final class MemoryBudget {
  /** Share of the memory that may be used by starting a run or storing a key. */
  private static final double RUN_SHARE = 0.92;

  /** Share of the memory above which arrivals are rejected and optional keys are not stored. */
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

  /** Returns whether too much memory is used to admit any further request. */
  boolean isFull() {
    return usedKb > ADMIT_SHARE * context.settings().memoryKb();
  }

  /** Returns whether there is memory for one more key that must be stored. */
  boolean hasCapacityForKey() {
    PolicySettings settings = context.settings();
    return usedKb + settings.keyKb() <= RUN_SHARE * settings.memoryKb();
  }

  /** Returns whether there is spare memory for one more key that need not be stored. */
  boolean canSpareKey() {
    PolicySettings settings = context.settings();
    return usedKb + settings.keyKb() <= ADMIT_SHARE * settings.memoryKb();
  }

  /** Returns whether a queued request can run within the available memory. */
  boolean hasCapacityToRun(TrackedRequest tracked) {
    PolicySettings settings = context.settings();
    double runningKb = settings.runMemoryFactor() * tracked.request.queuedKb();
    return usedKb + runningKb - tracked.memoryKb <= RUN_SHARE * settings.memoryKb();
  }

  /** Replaces the memory counted for a queued request by that of a running one. */
  void grow(TrackedRequest tracked) {
    double runningKb = context.settings().runMemoryFactor() * tracked.request.queuedKb();
    usedKb += runningKb - tracked.memoryKb;
    tracked.memoryKb = runningKb;
  }
}
