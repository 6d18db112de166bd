package rosecleat.core;

import java.util.List;

/**
 * The settings of a core. Classes and tenants are identified by their indices in these lists.
 *
 * @param cores number of processor cores that runs share
 * @param classes the request classes
 * @param tenants the names of the tenants
 * @param deadlineSlackUs how long after its deadline a response may still be useful to the caller,
 *     in microseconds
 * @param gracePeriodUs how long after the start of a graceful shutdown newly arriving requests are
 *     still run, in microseconds
 * @param idleTimeoutUs how long a connection may stay idle, in microseconds
 * @param maxResultBytes upper bound on the total size of the results that are cached for later
 *     attempts with the same idempotency keys, in bytes
 */
public record CoreSettings(
    int cores,
    List<RequestClass> classes,
    List<String> tenants,
    long deadlineSlackUs,
    long gracePeriodUs,
    long idleTimeoutUs,
    long maxResultBytes) {
  /** Returns the longest window of any class's idempotency keys, in microseconds; 0 if none. */
  long maxIdempotencyWindowUs() {
    return classes.stream().mapToLong(RequestClass::idempotencyWindowUs).max().orElse(0);
  }

  /** Returns the longest timeout of any class, in microseconds; 0 if there are no classes. */
  long maxTimeoutUs() {
    return classes.stream().mapToLong(RequestClass::timeoutUs).max().orElse(0);
  }
}
