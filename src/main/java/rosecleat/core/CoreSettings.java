package rosecleat.core;

import java.util.List;

/**
 * The settings of a core. A class or tenant is known by its position in its list.
 *
 * @param cores the processor cores that runs share
 * @param classes the classes of requests
 * @param tenants the names of the tenants
 * @param deadlineSlackUs how long after its deadline a response may still be of use, in
 *     microseconds
 * @param gracePeriodUs how long after the start of a graceful shutdown requests that arrive are
 *     still run, in microseconds
 * @param idleTimeoutUs how long connections may stay unused, in microseconds
 * @param maxResultBytes how many bytes of results are cached for later attempts with the same
 *     idempotency keys
 */
public record CoreSettings(
    int cores,
    List<RequestClass> classes,
    List<String> tenants,
    long deadlineSlackUs,
    long gracePeriodUs,
    long idleTimeoutUs,
    long maxResultBytes) {
  /** The longest timeout of any class, in microseconds; 0 without classes. */
  long maxTimeoutUs() {
    return classes.stream().mapToLong(RequestClass::timeoutUs).max().orElse(0);
  }
}
