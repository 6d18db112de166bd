package rosecleat.core;

import rosecleat.policy.Idempotency;

/**
 * The properties of a request class that the core depends on.
 *
 * @param name the name of the class, as used by operators and peer processes
 * @param idempotency whether its requests may run twice, and whether they carry keys
 * @param callsDownstream whether a run may pause for a downstream call before it ends
 * @param idempotencyWindowUs how long an idempotency key stays in force after the arrival of the
 *     attempt that ran, in microseconds
 * @param timeoutUs how long a request may take if its caller sets no timeout, in microseconds
 */
public record RequestClass(
    String name,
    Idempotency idempotency,
    boolean callsDownstream,
    long idempotencyWindowUs,
    long timeoutUs) {
  /** Returns how often its requests may be delivered. */
  public DeliveryGuarantee deliveryGuarantee() {
    return idempotency.repeatable()
        ? DeliveryGuarantee.AT_LEAST_ONCE
        : DeliveryGuarantee.AT_MOST_ONCE;
  }

  /** Returns whether its requests carry idempotency keys. */
  public boolean idempotent() {
    return idempotency == Idempotency.KEYED;
  }

  /** Returns this class with idempotency keys. */
  RequestClass asIdempotent() {
    return new RequestClass(
        name, Idempotency.KEYED, callsDownstream, idempotencyWindowUs, timeoutUs);
  }
}
