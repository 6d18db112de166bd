package rosecleat.policy;

/** Computes the weights of responses, and compares a weight with those of recent arrivals. */
final class RequestWeights {
  /** Two weights count as equal if the lower is at least this share of the higher. */
  static final double EQUAL_WEIGHT_RATIO = 0.999;

  /** Number of recent arrivals whose weights are compared. */
  private static final int RECENT_ARRIVALS = 64;

  private final TenantFairness fairness;
  private final double[] recent = new double[RECENT_ARRIVALS];
  private long arrivals;

  RequestWeights(TenantFairness fairness) {
    this.fairness = fairness;
  }

  /**
   * Returns the weight of a response within its latency objective. A marked retry counts as past
   * its objective with a probability of one half, so that first attempts take precedence over
   * retries. Trade-off: where first attempts fail at once on other servers, their retries have as
   * much time left as first attempts, but still count less.
   */
  double weight(TrackedRequest tracked) {
    PriorityClass priorityClass = tracked.priorityClass;
    return priorityClass.priorityWeight()
        * fairness.weight(tracked.request.tenantIndex())
        * (tracked.request.retry() ? (1 + priorityClass.lateWeight()) / 2 : 1);
  }

  /** Records the weight of an arrival. */
  void record(double weight) {
    recent[(int) (arrivals++ % RECENT_ARRIVALS)] = weight;
  }

  /** Returns the share of recent arrivals of at least this weight. */
  double shareAtLeast(double weight) {
    int count = (int) Math.min(arrivals, RECENT_ARRIVALS);
    int found = 0;
    for (int i = 0; i < count; i++) {
      found += recent[i] >= weight ? 1 : 0;
    }
    return (double) found / count;
  }

  /** Returns the number of arrivals since the start. */
  long arrivals() {
    return arrivals;
  }
}
