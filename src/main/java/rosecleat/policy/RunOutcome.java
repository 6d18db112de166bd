package rosecleat.policy;

/** The outcome of a run, as a host of {@link PolicyEngine} reports it. */
public enum RunOutcome {
  /** The run succeeded. */
  OK(Outcome.OK),
  /** The run failed; it may have taken effect. */
  FAILED(Outcome.FAILED),
  /** The run was cancelled, or ended at a downstream call after its request was answered. */
  CANCELLED(Outcome.CANCELLED),
  /** The run was not started, because the request had already completed. */
  NOT_STARTED(Outcome.NOT_STARTED);

  private final Outcome outcome;

  RunOutcome(Outcome outcome) {
    this.outcome = outcome;
  }

  /** Returns the corresponding {@link Outcome}, which the policy uses for runs and calls alike. */
  Outcome outcome() {
    return outcome;
  }
}
