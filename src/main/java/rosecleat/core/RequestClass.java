package rosecleat.core;

import rosecleat.policy.Idempotency;

/**
 * What the core knows of a class of requests.
 *
 * @param name the name of the class, by which operators and peers know it
 * @param idempotency what happens when its requests run twice
 * @param callsDownstream whether a run may pause for a downstream call before it ends
 * @param idempotencyWindowUs how long a key stays in force after the arrival of the attempt that
 *     ran, in microseconds
 * @param timeoutUs how long a request may take if its caller does not say, in microseconds
 */
public record RequestClass(
    String name,
    Idempotency idempotency,
    boolean callsDownstream,
    long idempotencyWindowUs,
    long timeoutUs) {
  /** How often its requests may be delivered. */
  public DeliveryGuarantee deliveryGuarantee() {
    return idempotency.repeatable()
        ? DeliveryGuarantee.AT_LEAST_ONCE
        : DeliveryGuarantee.AT_MOST_ONCE;
  }

  /** Whether its requests carry idempotency keys. */
  public boolean idempotent() {
    return idempotency == Idempotency.KEYED;
  }
}
