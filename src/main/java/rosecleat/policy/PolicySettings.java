package rosecleat.policy;

import java.util.List;

/**
 * What a policy is told of its server, its callers and the classes of requests.
 *
 * @param cores cores of the server
 * @param servers servers that share the load, 0 where it is not known
 * @param callers callers of all servers together, 0 where it is not known
 * @param coldStart whether the server starts cold and warms up (slow start)
 * @param coldCapacity share of its overload limit that a cold server survives, from 0 to 1
 * @param warmupUs how long a cold server takes to warm up (us)
 * @param memoryKb memory for requests and remembered keys (KB)
 * @param runMemoryFactor memory of a running request over that of a queued one
 * @param keyKb memory of one remembered key (KB)
 * @param overloadMultiple concurrent requests a core from which the server collapses
 * @param overloadDurationUs how long an overload may last before the server collapses (us)
 * @param graceUs how long after the start of draining requests may still arrive (us)
 * @param slackUs how much later than its deadline an answer may be written (us)
 * @param propagatesDeadline whether requests carry their deadline
 * @param signalsCancellation whether the server learns that a caller has cancelled
 * @param marksRetries whether callers mark retries
 * @param weightByWork whether priority weights are by the work of a request
 * @param overQuotaWeight part of the weight that is left over a tenant's quota, from 0 to 1
 * @param cancelMode what can be done to a running request
 * @param loadAdviceMode what callers make of the value that goes with answers
 * @param adviceHeededUs how long callers heed that value (us)
 * @param maxRetryAfterUs the longest Retry-After that callers heed (us), 0 where they heed none
 * @param readinessChecks whether health checks ask for readiness
 * @param deepChecks whether health checks may do real work
 * @param maxIdleUs the longest time that an idle connection stays open (us)
 * @param readSharingUs how long the result of a read may be shared (us), 0 for never
 * @param downstreamMode what this server's requests call
 * @param concurrentCalls this server's quota of concurrent downstream calls, in the mean of a
 *     window
 * @param callWindowUs the window of that mean (us)
 * @param callLingerUs how long a call that was given up still occupies the dependency (us)
 * @param roundUs a network round trip (us)
 * @param classes the classes of requests, by index
 * @param tenants the tenants, by index
 */
public record PolicySettings(
    int cores,
    int servers,
    int callers,
    boolean coldStart,
    double coldCapacity,
    long warmupUs,
    double memoryKb,
    double runMemoryFactor,
    double keyKb,
    double overloadMultiple,
    long overloadDurationUs,
    long graceUs,
    long slackUs,
    boolean propagatesDeadline,
    boolean signalsCancellation,
    boolean marksRetries,
    boolean weightByWork,
    double overQuotaWeight,
    CancelMode cancelMode,
    LoadAdviceMode loadAdviceMode,
    long adviceHeededUs,
    long maxRetryAfterUs,
    boolean readinessChecks,
    boolean deepChecks,
    long maxIdleUs,
    long readSharingUs,
    DownstreamMode downstreamMode,
    double concurrentCalls,
    long callWindowUs,
    long callLingerUs,
    long roundUs,
    List<PriorityClass> classes,
    List<TenantQuota> tenants) {

  /** The same for a server that starts cold, or warm. */
  public PolicySettings withColdStart(boolean cold) {
    return copy(cores, cold, memoryKb, overloadMultiple, concurrentCalls, classes, tenants);
  }

  /** The same with another number of cores. */
  public PolicySettings withCores(int otherCores) {
    return copy(
        otherCores, coldStart, memoryKb, overloadMultiple, concurrentCalls, classes, tenants);
  }

  /** The same with these classes and tenants. */
  public PolicySettings withClassesAndTenants(
      List<PriorityClass> otherClasses, List<TenantQuota> otherTenants) {
    return copy(
        cores, coldStart, memoryKb, overloadMultiple, concurrentCalls, otherClasses, otherTenants);
  }

  /**
   * The same for one of several processes on this server, which together must keep to its limits.
   */
  public PolicySettings withLimits(
      double partMemoryKb, double partOverloadMultiple, double partConcurrentCalls) {
    return copy(
        cores,
        coldStart,
        partMemoryKb,
        partOverloadMultiple,
        partConcurrentCalls,
        classes,
        tenants);
  }

  private PolicySettings copy(
      int otherCores,
      boolean otherColdStart,
      double otherMemoryKb,
      double otherOverloadMultiple,
      double otherConcurrentCalls,
      List<PriorityClass> otherClasses,
      List<TenantQuota> otherTenants) {
    return new PolicySettings(
        otherCores,
        servers,
        callers,
        otherColdStart,
        coldCapacity,
        warmupUs,
        otherMemoryKb,
        runMemoryFactor,
        keyKb,
        otherOverloadMultiple,
        overloadDurationUs,
        graceUs,
        slackUs,
        propagatesDeadline,
        signalsCancellation,
        marksRetries,
        weightByWork,
        overQuotaWeight,
        cancelMode,
        loadAdviceMode,
        adviceHeededUs,
        maxRetryAfterUs,
        readinessChecks,
        deepChecks,
        maxIdleUs,
        readSharingUs,
        downstreamMode,
        otherConcurrentCalls,
        callWindowUs,
        callLingerUs,
        roundUs,
        otherClasses,
        otherTenants);
  }
}
