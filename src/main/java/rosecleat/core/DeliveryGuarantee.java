package rosecleat.core;

/**
 * How often a request may be delivered to its runner. This matters if a connection breaks and it is
 * unknown whether the request arrived.
 */
public enum DeliveryGuarantee {
  /** The request only reads: it may be sent again and run twice. */
  AT_LEAST_ONCE,
  /** The request has an effect: once it may have arrived, it is never sent again. */
  AT_MOST_ONCE
}
