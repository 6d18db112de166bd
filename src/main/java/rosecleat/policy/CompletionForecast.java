package rosecleat.policy;

/** Predicts whether a request that starts now can still be answered in time. */
final class CompletionForecast {
  private final PolicyContext context;
  private final RequestTable requests;
  private final AdmissionGate gate;
  private final ServiceTimeEstimator serviceTimes;

  CompletionForecast(
      PolicyContext context,
      RequestTable requests,
      AdmissionGate gate,
      ServiceTimeEstimator serviceTimes) {
    this.context = context;
    this.requests = requests;
    this.gate = gate;
    this.serviceTimes = serviceTimes;
  }

  /**
   * Returns whether the request can no longer yield a response of any weight. While nothing runs, a
   * request within its latency objective is never hopeless, whatever its expected run time.
   */
  boolean isHopeless(TrackedRequest tracked) {
    long now = context.nowUs();
    if (requests.running() == 0 && now < tracked.objectiveUs) {
      return false;
    }
    boolean lateAnswerCounts = tracked.priorityClass.lateWeight() > 0 && !gate.isBinding();
    long endUs =
        lateAnswerCounts
            ? tracked.deadlineUs - PolicyTiming.DEADLINE_MARGIN_US
            : tracked.objectiveUs;
    boolean hopeless = now + serviceTimes.expectedRunTime(tracked) >= endUs;
    if (hopeless && now < endUs) {
      serviceTimes.discountRestored(tracked.request.classIndex());
    }
    return hopeless;
  }

  /** Returns whether a run that starts now is expected to miss its latency objective. */
  boolean missesObjective(TrackedRequest tracked) {
    return context.nowUs() + serviceTimes.expectedRunTime(tracked) > tracked.objectiveUs;
  }
}
