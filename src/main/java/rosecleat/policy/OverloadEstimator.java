package rosecleat.policy;

/** How overloaded the server is: rejections, arrivals that are too many, and its read backlog. */
final class OverloadEstimator {
  /** Rejection rate up to which a first attempt may go on to another server; chosen here. */
  private static final double MAX_SELDOM_REJECTION_RATE = 0.08;

  /** Requests read so late are a backlog (part of the latency objective); chosen here. */
  private static final double BACKLOG_LAG_SHARE = 0.4;

  /** Weight of the newest arrival in the rates; chosen here. */
  private static final double DECISION_WEIGHT = 0.05;

  /** Weight of the newest arrival in the read lag; chosen here. */
  private static final double LAG_WEIGHT = 0.1;

  /** Factor of a step without arrivals; chosen here. */
  private static final double IDLE_FADE_FACTOR = 0.9;

  private double rejectionRate;
  private double excess;
  private double readLag;

  /** Counts how late a request was read: its age over its latency objective. */
  void recordRead(TrackedRequest tracked) {
    double lag = (double) tracked.request.ageUs() / tracked.priorityClass.latencyObjectiveUs();
    readLag += LAG_WEIGHT * (Math.min(1, lag) - readLag);
  }

  /**
   * Counts a decision on admission.
   *
   * @param rejectionChance the chance of a rejection by the gate
   * @param belowLevel whether the caller was advised not to send it
   */
  void recordDecision(double rejectionChance, boolean belowLevel) {
    rejectionRate += DECISION_WEIGHT * (rejectionChance - rejectionRate);
    double arrivalExcess = belowLevel ? 0 : hasBacklog() ? 1 : rejectionChance;
    excess += DECISION_WEIGHT * (arrivalExcess - excess);
  }

  /** Lets the signals fade: callers that stay away leave nothing to measure. */
  void fade() {
    readLag *= IDLE_FADE_FACTOR;
    excess *= IDLE_FADE_FACTOR;
  }

  /** Chance of a rejection by the gate, smoothed. */
  double rejectionRate() {
    return rejectionRate;
  }

  boolean rejectsSeldom() {
    return rejectionRate <= MAX_SELDOM_REJECTION_RATE;
  }

  /** Share of the arrivals that are too many, though not below the advised level, smoothed. */
  double excess() {
    return excess;
  }

  /** Whether requests wait long before they are read. */
  boolean hasBacklog() {
    return readLag > BACKLOG_LAG_SHARE;
  }
}
