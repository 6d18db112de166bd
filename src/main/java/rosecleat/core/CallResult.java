package rosecleat.core;

/** How a downstream call ended. */
public enum CallResult {
  /** The call succeeded and has a reply. */
  OK("hit"),
  /** The downstream service rejected the call without executing it. */
  REJECTED("shed"),
  /** The call failed; it may have had its effect. */
  FAILED("broken"),
  /** The call ran out of time; it may have had its effect. */
  TIMED_OUT("slow"),
  /** The downstream service was not reached, so nothing executed. */
  UNREACHABLE("unreached"),
  /** The connection broke after the call had been sent; it may have had its effect. */
  INTERRUPTED("cut");

  private final String counterSuffix;

  CallResult(String counterSuffix) {
    this.counterSuffix = counterSuffix;
  }

  /** The last part of the names of counters of this result, which operators' tools depend on. */
  public String counterSuffix() {
    return counterSuffix;
  }
}
