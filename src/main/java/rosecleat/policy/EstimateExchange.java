package rosecleat.policy;

import java.util.ArrayList;
import java.util.List;

/** Exports what a policy has learned as estimates by name, and restores such estimates into it. */
final class EstimateExchange {
  /** Seconds of use behind a restored limit from which it counts in full. */
  private static final double FULL_TRUST_S = 10;

  /** Interval of the samples that are averaged into the typical limit. */
  private static final long SAMPLE_INTERVAL_US = 100_000;

  /** Weight of the newest sample in the typical limit. */
  private static final double SAMPLE_WEIGHT = 0.03;

  /** Call limits from this number of calls on count as unlimited. */
  private static final double UNLIMITED_CALLS = 1e5;

  private static final double US_PER_S = 1_000_000;

  private final Policy policy;

  /**
   * The concurrency limit while it is in use, smoothed. The current limit is no estimate: it falls
   * as soon as it is not needed.
   */
  private double typicalLimit;

  /** Seconds of use behind the typical limit. */
  private double typicalLimitSeconds;

  private long lastSampleUs;
  private double restoredArrivals;

  EstimateExchange(Policy policy) {
    this.policy = policy;
    typicalLimit = policy.concurrencyLimit();
  }

  /** Samples the limit once per interval, provided that at least half of it is in use. */
  void sample(long nowUs) {
    if (nowUs - lastSampleUs < SAMPLE_INTERVAL_US) {
      return;
    }
    lastSampleUs = nowUs;
    double limit = policy.concurrencyLimit();
    if (policy.concurrentRequests() >= limit / 2) {
      typicalLimit += SAMPLE_WEIGHT * (limit - typicalLimit);
      typicalLimitSeconds += SAMPLE_INTERVAL_US / US_PER_S;
    }
  }

  /** Returns what the policy has learned, by the current names of classes and tenants. */
  List<Estimate> estimates(ClassAndTenantNames names) {
    LearnedEstimates learned = policy.learnedEstimates();
    List<Estimate> estimates = new ArrayList<>();
    addRunTimes(estimates, learned, names.classes());
    addLimits(estimates, learned);
    addTenantShares(estimates, learned, names.tenants());
    return estimates;
  }

  private static void addRunTimes(
      List<Estimate> estimates, LearnedEstimates learned, List<String> classes) {
    int count = Math.min(learned.runCounts().length, classes.size());
    for (int index = 0; index < count; index++) {
      int runs = learned.runCounts()[index];
      if (classes.get(index) != null && runs > 0) {
        double runTimeUs = learned.runTimesUs()[index];
        estimates.add(new Estimate(EstimateKind.RUN_TIME, classes.get(index), runTimeUs, runs));
      }
    }
  }

  private void addLimits(List<Estimate> estimates, LearnedEstimates learned) {
    int calls = learned.callCount();
    if (calls > 0) {
      estimates.add(new Estimate(EstimateKind.CALL_TIME, "", learned.callTimeUs(), calls));
    }
    if (typicalLimitSeconds > 0) {
      estimates.add(new Estimate(EstimateKind.LIMIT, "", typicalLimit, typicalLimitSeconds));
    }
    if (learned.callLimit() < UNLIMITED_CALLS && calls > 0) {
      estimates.add(
          new Estimate(EstimateKind.CALL_LIMIT, "", learned.callLimit(), typicalLimitSeconds));
    }
  }

  private void addTenantShares(
      List<Estimate> estimates, LearnedEstimates learned, List<String> tenants) {
    double arrivals = restoredArrivals + learned.arrivals();
    int count = Math.min(learned.tenantShares().length, tenants.size());
    for (int index = 0; index < count; index++) {
      if (tenants.get(index) != null && arrivals > 0) {
        double share = learned.tenantShares()[index];
        estimates.add(new Estimate(EstimateKind.TENANT_PART, tenants.get(index), share, arrivals));
      }
    }
  }

  /**
   * Restores estimates into the policy. Limits with few seconds of use behind them count in part;
   * estimates of unknown classes or tenants are ignored.
   */
  void restore(PolicySettings settings, ClassAndTenantNames names, List<Estimate> estimates) {
    Restoration restoration =
        new Restoration(settings, names, policy.learnedEstimates().tenantShares().clone());
    estimates.forEach(restoration::add);
    if (restoration.limitSeconds >= 0) {
      typicalLimitSeconds = restoration.limitSeconds;
    }
    restoredArrivals = restoration.arrivals;
    policy.restore(restoration.learned());
    typicalLimit = policy.concurrencyLimit();
  }

  /** Converts estimates by name into learned values by index. */
  private static final class Restoration {
    private final PolicySettings settings;
    private final ClassAndTenantNames names;
    private final double[] runTimesUs;
    private final int[] runCounts;
    private final double[] tenantShares;
    private double callTimeUs;
    private int calls;
    private double limit;

    /** Seconds of use behind the limit, negative if no limit is restored. */
    private double limitSeconds = -1;

    private double callLimit;
    private double arrivals;

    Restoration(PolicySettings settings, ClassAndTenantNames names, double[] tenantShares) {
      this.settings = settings;
      this.names = names;
      this.tenantShares = tenantShares;
      runTimesUs = new double[settings.classes().size()];
      runCounts = new int[runTimesUs.length];
    }

    void add(Estimate estimate) {
      double value = estimate.value();
      double samples = estimate.samples();
      switch (estimate.kind()) {
        case RUN_TIME -> addRunTime(estimate);
        case CALL_TIME -> {
          callTimeUs = value;
          calls = (int) Math.round(samples);
        }
        case LIMIT -> {
          int cores = settings.cores();
          limit = cores + (value - cores) * Math.min(1, samples / FULL_TRUST_S);
          limitSeconds = samples;
        }
        case CALL_LIMIT -> callLimit = samples >= FULL_TRUST_S ? value : 0;
        case TENANT_PART -> addTenantShare(estimate);
        default -> throw new IllegalArgumentException("unknown estimate " + estimate.kind());
      }
    }

    private void addRunTime(Estimate estimate) {
      int index = names.classes().indexOf(estimate.subject());
      if (index >= 0 && index < runTimesUs.length) {
        runTimesUs[index] = estimate.value();
        runCounts[index] = (int) Math.round(estimate.samples());
      }
    }

    private void addTenantShare(Estimate estimate) {
      int index = names.tenants().indexOf(estimate.subject());
      if (index >= 0 && index < settings.tenants().size()) {
        tenantShares[index] = estimate.value();
        arrivals = Math.max(arrivals, estimate.samples());
      }
    }

    LearnedEstimates learned() {
      return new LearnedEstimates(
          runTimesUs, runCounts, callTimeUs, calls, limit, callLimit, tenantShares, arrivals);
    }
  }
}
