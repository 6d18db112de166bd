package rosecleat.policy;

import java.util.Arrays;

/** Quotas of tenants: what part of the arrivals each sends, and what it is served. */
final class TenantFairness {
  /** Memory of the tenants' shares of the arrivals (arrivals); chosen here. */
  private static final double SAMPLE_ARRIVALS = 128;

  /** A tenant served so many quotas gains little by more; chosen here. */
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

  /** Takes the tenants of the settings in force; a new one starts with its share of the quotas. */
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

  /** Fades the runs served, by the factor of {@link RequestRates#fade}. */
  void fade(double factor) {
    for (int tenant = 0; tenant < servedRuns.length; tenant++) {
      servedRuns[tenant] *= factor;
    }
  }

  /** Counts a run that succeeded. */
  void countServed(int tenantIndex) {
    if (tenantIndex < servedRuns.length) {
      servedRuns[tenantIndex] += 1;
    }
  }

  /**
   * The weight of one more request of a tenant: little once it is served its quota. Over its quota
   * is a tenant that sends more than its quota a server and more than its share of all quotas:
   * retries and uneven load swell all rates alike, and a thin sample must not set those within
   * their quotas against each other. Harm: where demand drifts, a newcomer is over its quota only
   * after some tens of arrivals.
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

  /** Each tenant's share of the recent arrivals. */
  double[] arrivalShares() {
    return arrivalShares;
  }

  /** Takes in shares learned elsewhere, as far as they rest on enough arrivals. */
  void restore(double[] learnedShares, double arrivals) {
    double learnedWeight = Math.min(1, arrivals / SAMPLE_ARRIVALS);
    for (int tenant = 0; tenant < arrivalShares.length; tenant++) {
      arrivalShares[tenant] =
          arrivalShares[tenant] + learnedWeight * (learnedShares[tenant] - arrivalShares[tenant]);
    }
  }
}
