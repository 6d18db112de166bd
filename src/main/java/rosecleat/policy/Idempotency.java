package rosecleat.policy;

/** The effect of running a request of a class more than once. */
public enum Idempotency {
  /** The requests only read, so running one again has no effect. */
  SAFE,
  /** The requests have an effect, and an idempotency key identifies repeated attempts. */
  KEYED,
  /** The requests have an effect, and repeated attempts cannot be identified. */
  UNSAFE;

  /**
   * Returns whether a request may be executed again if it is unknown whether it was executed
   * before. An idempotency key does not allow this: it only lets attempts share one execution.
   */
  public boolean repeatable() {
    return this == SAFE;
  }
}
