package rosecleat.policy;

/**
 * What a policy has learned that holds beyond the moment, by the indexes of classes and tenants.
 *
 * @param runTimesUs run time alone on the cores, by class (us)
 * @param runCounts the runs that each run time rests on
 * @param callTimeUs the usual length of a downstream call (us)
 * @param callCount the calls that it rests on
 * @param concurrencyLimit the limit on concurrent runs, 0 where it is not known
 * @param callLimit the limit on concurrent calls, 0 where it is not known
 * @param tenantShares each tenant's share of the arrivals
 * @param arrivals the arrivals that the shares rest on
 */
record LearnedEstimates(
    double[] runTimesUs,
    int[] runCounts,
    double callTimeUs,
    int callCount,
    double concurrencyLimit,
    double callLimit,
    double[] tenantShares,
    double arrivals) {}
