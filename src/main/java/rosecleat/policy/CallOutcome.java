package rosecleat.policy;

/** How a downstream call ended, as a host of {@link PolicyEngine} reports it. */
public enum CallOutcome {
  /** It succeeded. */
  OK(Outcome.OK),
  /** It failed; it may have taken effect. */
  FAILED(Outcome.FAILED),
  /** The dependency rejected it before it ran. */
  REJECTED(Outcome.REJECTED),
  /** It was given up after a time; it may have taken effect. */
  TIMEOUT(Outcome.TIMEOUT),
  /** The dependency was not reached. */
  UNREACHABLE(Outcome.UNREACHABLE),
  /** The connection was lost; it may have taken effect. */
  RESET(Outcome.RESET);

  private final Outcome outcome;

  CallOutcome(Outcome outcome) {
    this.outcome = outcome;
  }

  /** The same for the policy, which uses one set of outcomes for runs and calls. */
  Outcome outcome() {
    return outcome;
  }
}
