package rosecleat.policy;

/**
 * Values that a policy has learned and that stay valid beyond the current load, by the indexes of
 * classes and tenants.
 *
 * @param runTimesUs run time without contention for the cores, by class (us)
 * @param runCounts number of runs behind each run time
 * @param callTimeUs typical duration of a downstream call (us)
 * @param callCount number of calls behind the call duration
 * @param concurrencyLimit limit on concurrent runs, 0 if unknown
 * @param callLimit limit on concurrent calls, 0 if unknown
 * @param tenantShares share of the arrivals, by tenant
 * @param arrivals number of arrivals behind the shares
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
