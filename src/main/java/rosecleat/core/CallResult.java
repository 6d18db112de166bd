package rosecleat.core;

/** How a downstream call ended. */
public enum CallResult {
  /** The call succeeded and has a reply. */
  OK("hit"),
  /** The downstream service rejected the call without executing it. */
  REJECTED("shed"),
  /** The call failed; it may have taken effect. */
  FAILED("broken"),
  /** The call timed out; it may have taken effect. */
  TIMED_OUT("slow"),
  /** The downstream service was not reached, so nothing was executed. */
  UNREACHABLE("unreached"),
  /** The connection broke after the call had been sent; the call may have taken effect. */
  INTERRUPTED("cut");

  private final String counterSuffix;

  CallResult(String counterSuffix) {
    this.counterSuffix = counterSuffix;
  }

  /** Returns the suffix of this result's counter names, which operators' tools depend on. */
  public String counterSuffix() {
    return counterSuffix;
  }
}
