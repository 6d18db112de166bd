package rosecleat.policy;

/** What answers are worth, and how the recent arrivals compare. */
final class RequestWeights {
  /** From this part of a weight on, two weights are equal; chosen here. */
  static final double EQUAL_WEIGHT_RATIO = 0.999;

  /** Arrivals whose weights are compared; chosen here. */
  private static final int RECENT_ARRIVALS = 64;

  private final TenantFairness fairness;
  private final double[] recent = new double[RECENT_ARRIVALS];
  private long arrivals;

  RequestWeights(TenantFairness fairness) {
    this.fairness = fairness;
  }

  /**
   * The weight of an answer within its latency objective. A marked retry is as likely as not past
   * its objective; this guards first attempts against retries. Harm: where first attempts fail at
   * once elsewhere, their retries are as good as new.
   */
  double weight(TrackedRequest tracked) {
    PriorityClass priorityClass = tracked.priorityClass;
    return priorityClass.priorityWeight()
        * fairness.weight(tracked.request.tenantIndex())
        * (tracked.request.retry() ? (1 + priorityClass.lateWeight()) / 2 : 1);
  }

  /** Counts the weight of an arrival. */
  void record(double weight) {
    recent[(int) (arrivals++ % RECENT_ARRIVALS)] = weight;
  }

  /** The share of the recent arrivals of this weight or more. */
  double shareAtLeast(double weight) {
    int count = (int) Math.min(arrivals, RECENT_ARRIVALS);
    int found = 0;
    for (int i = 0; i < count; i++) {
      found += recent[i] >= weight ? 1 : 0;
    }
    return (double) found / count;
  }

  /** All arrivals since the start. */
  long arrivals() {
    return arrivals;
  }
}
