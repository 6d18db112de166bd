package rosecleat.policy;

/** What happens when a class's requests run twice. */
public enum Idempotency {
  /** Nothing: the requests only read. */
  SAFE,
  /** They have an effect; an idempotency key tells a repeated attempt from a new request. */
  KEYED,
  /** They have an effect, and nothing tells a repeated attempt from a new request. */
  UNSAFE;

  /**
   * Whether a request may be executed again where it is unknown whether it was executed before. A
   * key does not make it so: it lets attempts share one execution.
   */
  public boolean repeatable() {
    return this == SAFE;
  }
}
