package rosecleat.policy;

/** What became of one effect with an idempotency key, for all attempts at it. */
final class IdempotentExecution {
  /** Whether any attempt was started. */
  boolean executed;

  /** The attempt that runs or is to run it; null where that attempt was rejected. */
  TrackedRequest leader;
}
