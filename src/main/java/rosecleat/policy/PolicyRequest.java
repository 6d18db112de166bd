package rosecleat.policy;

/**
 * A request that a server has read.
 *
 * @param id the number of the request on this server
 * @param classIndex the index of the request's class in the settings
 * @param tenantIndex the index of the request's tenant in the settings
 * @param readKey the key that reads with a shareable result have in common, 0 if absent
 * @param timeoutUs the time until the deadline (us), 0 if absent
 * @param runTimeHintUs the caller's estimate of the run time (us), 0 if absent
 * @param queuedKb the memory of the request while it is queued (KB)
 * @param rank the rank among all requests, from 0 to 1, for {@link LoadAdviceMode#LEVEL}
 * @param retry whether the caller marked the request as a retry
 * @param write whether the request is a write
 * @param callerId the number of the caller that sent the request
 * @param ageUs the time since the request reached the machine (us)
 * @param originalId the id of the request that this attempt repeats, 0 if absent
 */
public record PolicyRequest(
    long id,
    int classIndex,
    int tenantIndex,
    long readKey,
    long timeoutUs,
    long runTimeHintUs,
    double queuedKb,
    double rank,
    boolean retry,
    boolean write,
    long callerId,
    long ageUs,
    long originalId) {}
