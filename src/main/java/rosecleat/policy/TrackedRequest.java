package rosecleat.policy;

/** A request on this server, with its times and its state. */
final class TrackedRequest {
  final PolicyRequest request;
  final PriorityClass priorityClass;
  final long arrivedUs;

  /** The latency objective: when the answer should be ready. */
  final long objectiveUs;

  /** When the answer must be ready. */
  long deadlineUs;

  RequestState state = RequestState.QUEUED;

  /** Whether the host still owes an answer. */
  boolean awaitingResponse = true;

  /** Whether a run was started. */
  boolean executed;

  /** Whether its run was asked to stop. */
  boolean cancelRequested;

  /** Downstream calls made for the need in hand. */
  int callAttempts;

  /** The call that is outstanding, null where there is none. */
  DownstreamCall activeCall;

  /** Memory that is counted for it now. */
  double memoryKb;

  long runStartedUs;
  long stateSinceUs;

  /** Time of its run spent waiting for downstream calls. */
  long waitedAtCallsUs;

  /** The effect that it shares with its other attempts, null where it has no idempotency key. */
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

  /** Whether it has an effect that was started: queued again, it must not run a second time. */
  boolean mustNotRunAgain() {
    return executed && !isSafe();
  }

  /** Whether it is true that no attempt of it ran, or that it does not matter. */
  boolean mayBeRejected() {
    return isSafe()
        || (!executed
            && (execution == null ? state != RequestState.ATTACHED : !execution.executed));
  }
}
