package rosecleat.policy;

/** The execution state that all attempts with the same idempotency key share. */
final class IdempotentExecution {
  /** Whether a run of any attempt was started. */
  boolean executed;

  /** The attempt that executes the request; null if that attempt was rejected. */
  TrackedRequest leader;
}
