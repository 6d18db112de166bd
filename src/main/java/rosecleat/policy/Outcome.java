package rosecleat.policy;

/** The outcome of a run or of a downstream call. */
public enum Outcome {
  /** The run or call succeeded. */
  OK,
  /** The run or call failed; it may have taken effect. */
  FAILED,
  /** The call was rejected before it ran, so it took no effect. */
  REJECTED,
  /** The call timed out; it may have taken effect. */
  TIMEOUT,
  /** The dependency could not be reached, so the call took no effect. */
  UNREACHABLE,
  /** The connection was lost during the call; the call may have taken effect. */
  RESET,
  /** The run was cancelled, or ended at a downstream call after its request was answered. */
  CANCELLED,
  /** The run was not started, because the request had already completed. */
  NOT_STARTED
}
