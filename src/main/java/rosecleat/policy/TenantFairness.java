package rosecleat.policy;

import java.util.Arrays;

/** Lowers the weight of tenants over their quota, by their arrivals and their completed runs. */
final class TenantFairness {
  /** Number of arrivals over which the tenants' arrival shares are averaged. */
  private static final double SAMPLE_ARRIVALS = 128;

  /** Multiple of its quota up to which a tenant is served at full weight in any case. */
  private static final double SERVED_QUOTA_FACTOR = 1.5;

  private final PolicyContext context;
  private final RequestRates rates;
  private double[] arrivalShares = {};
  private double[] servedRuns = {};
  private double totalQuotaPerS;

  TenantFairness(PolicyContext context, RequestRates rates) {
    this.context = context;
    this.rates = rates;
  }

  /** Applies the tenants of the current settings; a new tenant starts with its quota share. */
  void reconfigure() {
    PolicySettings settings = context.settings();
    int known = arrivalShares.length;
    arrivalShares = Arrays.copyOf(arrivalShares, settings.tenants().size());
    servedRuns = Arrays.copyOf(servedRuns, arrivalShares.length);
    totalQuotaPerS = settings.tenants().stream().mapToDouble(TenantQuota::quotaPerS).sum();
    for (int tenant = known; tenant < arrivalShares.length; tenant++) {
      double quotaPerS = settings.tenants().get(tenant).quotaPerS();
      arrivalShares[tenant] = totalQuotaPerS > 0 ? quotaPerS / totalQuotaPerS : 0;
    }
  }

  void countArrival(int tenantIndex) {
    for (int tenant = 0; tenant < arrivalShares.length; tenant++) {
      int sample = tenant == tenantIndex ? 1 : 0;
      arrivalShares[tenant] += (sample - arrivalShares[tenant]) / SAMPLE_ARRIVALS;
    }
  }

  /** Decays the count of served runs by the factor of {@link RequestRates#fade}. */
  void fade(double factor) {
    for (int tenant = 0; tenant < servedRuns.length; tenant++) {
      servedRuns[tenant] *= factor;
    }
  }

  /** Counts a successful run. */
  void countServed(int tenantIndex) {
    if (tenantIndex < servedRuns.length) {
      servedRuns[tenantIndex] += 1;
    }
  }

  /**
   * Returns the weight factor of one more request of a tenant. The factor is low for a tenant that
   * is over its quota and has been served well above it.
   *
   * <p>A tenant is over its quota if its arrivals exceed both its quota per server and its share of
   * all quotas. The rate alone is not enough, since retries and uneven load raise the rates of all
   * tenants alike. The arrivals must also exceed the quota by more than the sampling error, so that
   * a small sample does not favour one of several tenants within their quotas. Trade-off: while
   * demand shifts, a new heavy tenant counts as over its quota only after some tens of arrivals.
   */
  double weight(int tenantIndex) {
    PolicySettings settings = context.settings();
    if (tenantIndex >= arrivalShares.length
        || settings.overQuotaWeight() >= 1
        || settings.servers() == 0
        || totalQuotaPerS <= 0) {
      return 1;
    }
    double quotaPerS = settings.tenants().get(tenantIndex).quotaPerS();
    double share = quotaPerS / totalQuotaPerS;
    if (share <= 0) {
      return settings.overQuotaWeight();
    }
    double rate = RequestRates.perSecond(rates.arrivals()) * settings.servers() / totalQuotaPerS;
    double demand = arrivalShares[tenantIndex] / share * Math.min(1, rate);
    double sampleError = Math.sqrt((1 - share) / share / (2 * SAMPLE_ARRIVALS));
    double served =
        RequestRates.perSecond(servedRuns[tenantIndex]) * settings.servers() / quotaPerS;
    return demand <= 1 + sampleError || served < SERVED_QUOTA_FACTOR
        ? 1
        : settings.overQuotaWeight();
  }

  /** Returns each tenant's share of the recent arrivals. */
  double[] arrivalShares() {
    return arrivalShares;
  }

  /**
   * Merges arrival shares learned by other processes, weighted by the number of arrivals behind
   * them.
   */
  void restore(double[] learnedShares, double arrivals) {
    double learnedWeight = Math.min(1, arrivals / SAMPLE_ARRIVALS);
    for (int tenant = 0; tenant < arrivalShares.length; tenant++) {
      arrivalShares[tenant] =
          arrivalShares[tenant] + learnedWeight * (learnedShares[tenant] - arrivalShares[tenant]);
    }
  }
}
