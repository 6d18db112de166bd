package rosecleat.policy;

/**
 * A request as it was read.
 *
 * @param id its number on this server
 * @param classIndex the index of its class in the settings
 * @param tenantIndex the index of its tenant in the settings
 * @param readKey equal for reads that may share one result, 0 where absent
 * @param timeoutUs time until its deadline (us), 0 where absent
 * @param runTimeHintUs the caller's estimate of its run time (us), 0 where absent
 * @param queuedKb memory that it takes while it is queued (KB)
 * @param rank its rank among all requests, from 0 to 1, for {@link LoadAdviceMode#LEVEL}
 * @param retry whether the caller marked it as a retry
 * @param write whether it is a write
 * @param callerId the number of the caller that sent it
 * @param ageUs time since it reached the machine (us)
 * @param originalId the request whose attempt it repeats, 0 where absent
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
