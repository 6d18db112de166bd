package rosecleat.policy;

/**
 * A class of requests: what their answers are worth, by when, and what happens when they run twice.
 *
 * @param priorityWeight the weight of one answer within the latency objective
 * @param lateWeight the part of the weight that is left after the latency objective, from 0 to 1
 * @param latencyObjectiveUs when an answer should be ready, from the arrival (us)
 * @param objectiveRunTimeFactor how many run times are added to the latency objective
 * @param deadlineUs when an answer must be ready, from the arrival (us)
 * @param idempotency what happens when a request runs twice
 * @param retryWindowUs how long after the arrival a repeated attempt may come (us)
 * @param callsDownstream whether a run makes a downstream call
 * @param weightWithoutCall the part of the weight of an answer without the call, from 0 to 1
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
   * The class's terms as one text. Digests of it are stored beside estimates, so its form stays as
   * it is: another form would drop every estimate that an earlier version stored.
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
