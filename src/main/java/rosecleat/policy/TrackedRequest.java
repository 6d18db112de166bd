package rosecleat.policy;

/** A request on this server, with its times and state. */
final class TrackedRequest {
  final PolicyRequest request;
  final PriorityClass priorityClass;
  final long arrivedUs;

  /** Time at which the response should be ready (us): the latency objective. */
  final long objectiveUs;

  /** Time at which the response must be ready (us). */
  long deadlineUs;

  RequestState state = RequestState.QUEUED;

  /** Whether the host must still send a response. */
  boolean awaitingResponse = true;

  /** Whether a run was started. */
  boolean executed;

  /** Whether cancellation of the run was requested. */
  boolean cancelRequested;

  /** Attempts made at the current downstream call. */
  int callAttempts;

  /** The outstanding downstream call, null if there is none. */
  DownstreamCall activeCall;

  /** Memory that is counted for the request now (KB). */
  double memoryKb;

  long runStartedUs;
  long stateSinceUs;

  /** Time that the run has waited for downstream calls (us). */
  long waitedAtCallsUs;

  /** The execution shared with other attempts, null if the request has no idempotency key. */
  IdempotentExecution execution;

  TrackedRequest(
      PolicyRequest request,
      PriorityClass priorityClass,
      long arrivedUs,
      long objectiveUs,
      long deadlineUs) {
    this.request = request;
    this.priorityClass = priorityClass;
    this.arrivedUs = arrivedUs;
    this.objectiveUs = objectiveUs;
    this.deadlineUs = deadlineUs;
    memoryKb = request.queuedKb();
  }

  long id() {
    return request.id();
  }

  boolean isSafe() {
    return priorityClass.idempotency() == Idempotency.SAFE;
  }

  boolean isKeyed() {
    return priorityClass.idempotency() == Idempotency.KEYED;
  }

  /** Returns whether a run with an effect was started, so that the request must not run again. */
  boolean mustNotRunAgain() {
    return executed && !isSafe();
  }

  /**
   * Returns whether the request may be rejected. A rejection states that nothing ran, so it is
   * allowed only if no attempt was started or if running a request twice is harmless.
   */
  boolean mayBeRejected() {
    return isSafe()
        || (!executed
            && (execution == null ? state != RequestState.ATTACHED : !execution.executed));
  }
}
