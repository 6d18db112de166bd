package rosecleat.policy;

/** How a run or a downstream call ended. */
public enum Outcome {
  /** It succeeded. */
  OK,
  /** It failed; it may have taken effect. */
  FAILED,
  /** It was rejected before it ran, so it took no effect. */
  REJECTED,
  /** It was given up after a time; it may have taken effect. */
  TIMEOUT,
  /** Nothing was reached, so it took no effect. */
  UNREACHABLE,
  /** The connection was lost; it may have taken effect. */
  RESET,
  /** The run was cancelled, or ended at a downstream call after its answer was given. */
  CANCELLED,
  /** Nothing was started, because the request had completed already. */
  NOT_STARTED
}
