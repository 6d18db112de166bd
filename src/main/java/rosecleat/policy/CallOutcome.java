package rosecleat.policy;

/** The outcome of a downstream call, as a host of {@link PolicyEngine} reports it. */
public enum CallOutcome {
  /** The call succeeded. */
  OK(Outcome.OK),
  /** The call failed; it may have taken effect. */
  FAILED(Outcome.FAILED),
  /** The dependency rejected the call before running it. */
  REJECTED(Outcome.REJECTED),
  /** The call timed out; it may have taken effect. */
  TIMEOUT(Outcome.TIMEOUT),
  /** The dependency could not be reached, so the call took no effect. */
  UNREACHABLE(Outcome.UNREACHABLE),
  /** The connection was lost during the call; the call may have taken effect. */
  RESET(Outcome.RESET);

  private final Outcome outcome;

  CallOutcome(Outcome outcome) {
    this.outcome = outcome;
  }

  /** Returns the corresponding {@link Outcome}, which the policy uses for runs and calls alike. */
  Outcome outcome() {
    return outcome;
  }
}
