package rosecleat.policy;

/** How a run ended, as a host of {@link PolicyEngine} reports it. */
public enum RunOutcome {
  /** It succeeded. */
  OK(Outcome.OK),
  /** It failed; it may have taken effect. */
  FAILED(Outcome.FAILED),
  /** It was cancelled, or ended at a downstream call after its answer was given. */
  CANCELLED(Outcome.CANCELLED),
  /** It was not started, because the request had completed already. */
  NOT_STARTED(Outcome.NOT_STARTED);

  private final Outcome outcome;

  RunOutcome(Outcome outcome) {
    this.outcome = outcome;
  }

  /** The same for the policy, which uses one set of outcomes for runs and calls. */
  Outcome outcome() {
    return outcome;
  }
}
