package rosecleat.policy;

import java.util.List;

/**
 * Current use of a server's limits by its policy.
 *
 * @param meanCalls mean number of downstream calls over their window, now and after each further
 *     second if no more calls are made
 * @param memoryKb memory of requests and of stored keys (KB)
 * @param running number of requests that run or wait for a downstream call
 */
public record LimitUsage(List<Double> meanCalls, double memoryKb, double running) {}
