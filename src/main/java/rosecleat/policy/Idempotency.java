package rosecleat.policy;

/** What happens when a class's requests run twice. */
public enum Idempotency {
  /** Nothing: the requests only read. */
  SAFE,
  /** They have an effect; an idempotency key tells a repeated attempt from a new request. */
  KEYED,
  /** They have an effect, and nothing tells a repeated attempt from a new request. */
  UNSAFE
}
