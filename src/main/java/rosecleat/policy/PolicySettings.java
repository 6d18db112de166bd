package rosecleat.policy;

import java.util.List;

/**
 * Settings of a policy: its server, its callers, and the classes of requests.
 *
 * @param cores number of cores of the server
 * @param servers number of servers that share the load, 0 if unknown
 * @param callers number of callers of all servers together, 0 if unknown
 * @param coldStart whether the server starts cold and warms up (slow start)
 * @param coldCapacity what a cold server survives beyond one request per core, as a share of what
 *     the warm server survives beyond that, from 0 to 1
 * @param warmupUs time that a cold server takes to warm up (us)
 * @param memoryKb limit on the memory of requests and stored keys (KB)
 * @param runMemoryFactor memory of a running request as a multiple of its memory while queued
 * @param keyKb memory of one stored key (KB)
 * @param overloadMultiple concurrent requests per core at which the server collapses
 * @param overloadDurationUs time that an overload may last before the server collapses (us)
 * @param graceUs grace period from the start of draining, in which arriving requests are still
 *     accepted (us)
 * @param slackUs time after its deadline within which a response may still be written (us)
 * @param propagatesDeadline whether requests carry their deadline
 * @param signalsCancellation whether the server is notified when a caller cancels a request
 * @param marksRetries whether callers mark retries
 * @param weightByWork whether priority weights are based on the work of a request
 * @param overQuotaWeight factor for the weight of a request beyond its tenant's quota, from 0 to 1
 * @param cancelMode effect of cancelling a running request
 * @param loadAdviceMode meaning of the load advice that is sent with responses
 * @param adviceHeededUs time for which callers follow the load advice (us)
 * @param maxRetryAfterUs longest Retry-After that callers follow (us), 0 if they ignore it
 * @param readinessChecks whether health checks ask for readiness
 * @param deepChecks whether health checks may do real work
 * @param maxIdleUs longest time that an idle connection stays open (us)
 * @param readSharingUs time for which the result of a read may be shared (us), 0 for never
 * @param downstreamMode kind of dependency that this server's requests call
 * @param concurrentCalls this server's quota of concurrent downstream calls, as the mean over a
 *     window of {@code callWindowUs}
 * @param callWindowUs window over which the mean of concurrent calls is taken (us)
 * @param callLingerUs time for which a timed-out or abandoned call still occupies the dependency
 *     (us)
 * @param roundUs duration of a network round trip (us)
 * @param classes request classes, by index
 * @param tenants tenants' quotas, by index
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

  /** Returns these settings for a server that starts cold, or warm. */
  public PolicySettings withColdStart(boolean cold) {
    return copy(cores, cold, memoryKb, overloadMultiple, concurrentCalls, classes, tenants);
  }

  /** Returns these settings with another number of cores. */
  public PolicySettings withCores(int otherCores) {
    return copy(
        otherCores, coldStart, memoryKb, overloadMultiple, concurrentCalls, classes, tenants);
  }

  /** Returns these settings with other classes and tenants. */
  public PolicySettings withClassesAndTenants(
      List<PriorityClass> otherClasses, List<TenantQuota> otherTenants) {
    return copy(
        cores, coldStart, memoryKb, overloadMultiple, concurrentCalls, otherClasses, otherTenants);
  }

  /**
   * Returns these settings with one process's share of the limits that all processes on this server
   * must keep together.
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
