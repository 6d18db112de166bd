package rosecleat.core;

/** How a run ended. */
public enum RunResult {
  /** The run completed with a result. */
  OK("ok"),
  /** The run executed and failed. */
  FAILED("failed"),
  /** The connection to the runner broke; the run may have executed, and its outcome is unknown. */
  INTERRUPTED("cut"),
  /** The run was cancelled. */
  CANCELLED("halted"),
  /** The runner did not start the run, because it considers the request closed. */
  NOT_STARTED("void"),
  /** The runner was not reached, so nothing was executed. */
  UNREACHABLE("unreached");

  private final String counterSuffix;

  RunResult(String counterSuffix) {
    this.counterSuffix = counterSuffix;
  }

  /** Returns the suffix of this result's counter names, which operators' tools depend on. */
  public String counterSuffix() {
    return counterSuffix;
  }
}
