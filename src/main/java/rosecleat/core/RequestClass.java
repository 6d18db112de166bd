package rosecleat.core;

/**
 * What the core knows of a class of requests.
 *
 * @param name the name of the class, by which operators and peers know it
 * @param idempotent whether its requests carry idempotency keys
 * @param callsDownstream whether each run pauses for a downstream call before it ends
 * @param idempotencyWindowUs how long a key stays in force after the arrival of the attempt that
 *     ran, in microseconds
 * @param timeoutUs how long a request may take if its caller does not say, in microseconds
 */
public record RequestClass(
    String name,
    boolean idempotent,
    boolean callsDownstream,
    long idempotencyWindowUs,
    long timeoutUs) {}
