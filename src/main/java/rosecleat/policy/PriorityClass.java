package rosecleat.policy;

/**
 * A class of requests: the weight of their responses, their time limits, and the effect of running
 * a request twice.
 *
 * @param priorityWeight weight of one response within the latency objective
 * @param lateWeight share of the weight that remains after the latency objective, from 0 to 1
 * @param latencyObjectiveUs time from the arrival within which a response should be ready (us)
 * @param objectiveRunTimeFactor multiple of the run time that is added to the latency objective
 * @param deadlineUs time from the arrival within which a response must be ready (us)
 * @param idempotency effect of running a request twice
 * @param retryWindowUs time from the arrival within which a repeated attempt may arrive (us)
 * @param callsDownstream whether a run makes a downstream call
 * @param weightWithoutCall share of the weight that a response has without the call, from 0 to 1
 */
public record PriorityClass(
    double priorityWeight,
    double lateWeight,
    long latencyObjectiveUs,
    double objectiveRunTimeFactor,
    long deadlineUs,
    Idempotency idempotency,
    long retryWindowUs,
    boolean callsDownstream,
    double weightWithoutCall) {

  /**
   * Returns the class's terms as one text. Digests of this text are stored with estimates, so its
   * form must not change: another form would invalidate every estimate that an earlier version
   * stored.
   */
  public String digestText() {
    return "Klass[worth="
        + priorityWeight
        + ", lateWorth="
        + lateWeight
        + ", aimUs="
        + latencyObjectiveUs
        + ", aimStretch="
        + objectiveRunTimeFactor
        + ", dueUs="
        + deadlineUs
        + ", effect="
        + idempotency
        + ", windowUs="
        + retryWindowUs
        + ", calls="
        + callsDownstream
        + ", worthWithoutCall="
        + weightWithoutCall
        + "]";
  }
}
