package rosecleat.policy;

/** Estimates the server's overload: its rejection rate, excess arrivals and read backlog. */
final class OverloadEstimator {
  /** Rejection rate up to which a rejected first attempt may be retried on another server. */
  private static final double MAX_SELDOM_REJECTION_RATE = 0.08;

  /** Read lag above which the server has a read backlog (share of the latency objective). */
  private static final double BACKLOG_LAG_SHARE = 0.4;

  /** Weight of the newest arrival in the rejection rate and the excess. */
  private static final double DECISION_WEIGHT = 0.05;

  /** Weight of the newest arrival in the read lag. */
  private static final double LAG_WEIGHT = 0.1;

  /** Decay of the read lag and the excess per adjustment without arrivals. */
  private static final double IDLE_FADE_FACTOR = 0.9;

  private double rejectionRate;
  private double excess;
  private double readLag;

  /** Records how late a request was read: its age as a share of its latency objective. */
  void recordRead(TrackedRequest tracked) {
    double lag = (double) tracked.request.ageUs() / tracked.priorityClass.latencyObjectiveUs();
    readLag += LAG_WEIGHT * (Math.min(1, lag) - readLag);
  }

  /**
   * Records an admission decision. An arrival below the advised level counts as no excess, so that
   * callers who ignore the level do not raise it further; during a read backlog every other arrival
   * counts in full.
   *
   * @param rejectionChance probability of a rejection by the gate
   * @param belowLevel whether the caller was advised not to send the request
   */
  void recordDecision(double rejectionChance, boolean belowLevel) {
    rejectionRate += DECISION_WEIGHT * (rejectionChance - rejectionRate);
    double arrivalExcess = belowLevel ? 0 : hasBacklog() ? 1 : rejectionChance;
    excess += DECISION_WEIGHT * (arrivalExcess - excess);
  }

  /** Decays the read lag and the excess, which get no new values while no requests arrive. */
  void fade() {
    readLag *= IDLE_FADE_FACTOR;
    excess *= IDLE_FADE_FACTOR;
  }

  /** Returns the probability of a rejection by the gate, smoothed. */
  double rejectionRate() {
    return rejectionRate;
  }

  boolean rejectsSeldom() {
    return rejectionRate <= MAX_SELDOM_REJECTION_RATE;
  }

  /**
   * Returns the share of arrivals in excess of capacity and not below the advised level, smoothed.
   */
  double excess() {
    return excess;
  }

  /** Returns whether requests wait long before they are read. */
  boolean hasBacklog() {
    return readLag > BACKLOG_LAG_SHARE;
  }
}
