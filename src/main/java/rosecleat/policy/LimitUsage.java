package rosecleat.policy;

import java.util.List;

/**
 * What a policy uses of its server's limits.
 *
 * @param meanCalls downstream calls in the mean of their window, now and after each further second
 *     if no more of them are made
 * @param memoryKb memory of requests and of remembered keys (KB)
 * @param running requests that run or wait for a downstream call
 */
public record LimitUsage(List<Double> meanCalls, double memoryKb, double running) {}
