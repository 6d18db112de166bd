package rosecleat.state;

import rosecleat.facts.Fact;
import rosecleat.facts.FactKind;
import rosecleat.facts.SettingsDigests;
import rosecleat.policy.Estimate;
import rosecleat.policy.EstimateKind;

/** Converts between estimates of the policy engine and facts, their stored form. */
final class EstimateConverter {
  private EstimateConverter() {}

  /** Converts a fact to an estimate. */
  static Estimate toEstimate(Fact fact) {
    return new Estimate(estimateKindOf(fact.kind()), fact.subject(), fact.value(), fact.weight());
  }

  /** Converts an estimate to a fact that was learned at a time under the current settings. */
  static Fact toFact(Estimate estimate, SettingsDigests settings, long nowUs) {
    FactKind kind = factKindOf(estimate.kind());
    return new Fact(
        kind,
        estimate.subject(),
        estimate.value(),
        Math.min(estimate.samples(), kind.maxWeight()),
        nowUs,
        settings.digestOf(kind, estimate.subject()).orElse(""));
  }

  /**
   * Returns whether a fact may be stored: its subject is configured, its value is plausible and its
   * weight is positive.
   */
  static boolean isStorable(Fact fact, SettingsDigests settings) {
    return settings.digestOf(fact.kind(), fact.subject()).isPresent()
        && fact.kind().isPlausible(fact.value())
        && fact.weight() > 0;
  }

  private static EstimateKind estimateKindOf(FactKind kind) {
    return switch (kind) {
      case RUN_TIME -> EstimateKind.RUN_TIME;
      case CALL_TIME -> EstimateKind.CALL_TIME;
      case LIMIT -> EstimateKind.LIMIT;
      case CALL_LIMIT -> EstimateKind.CALL_LIMIT;
      case TENANT_PART -> EstimateKind.TENANT_PART;
    };
  }

  private static FactKind factKindOf(EstimateKind kind) {
    return switch (kind) {
      case RUN_TIME -> FactKind.RUN_TIME;
      case CALL_TIME -> FactKind.CALL_TIME;
      case LIMIT -> FactKind.LIMIT;
      case CALL_LIMIT -> FactKind.CALL_LIMIT;
      case TENANT_PART -> FactKind.TENANT_PART;
    };
  }
}
