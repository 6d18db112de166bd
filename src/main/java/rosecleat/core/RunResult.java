package rosecleat.core;

/** How a run ended. */
public enum RunResult {
  /** The run completed with a result. */
  OK("ok"),
  /** The run executed and failed. */
  FAILED("failed"),
  /** The connection to the runner broke: the run may have executed, its outcome is unknown. */
  INTERRUPTED("cut"),
  /** The run was cancelled. */
  CANCELLED("halted"),
  /** The runner started nothing, as the request is closed. */
  NOT_STARTED("void"),
  /** The runner was not reached, so nothing executed. */
  UNREACHABLE("unreached");

  private final String counterSuffix;

  RunResult(String counterSuffix) {
    this.counterSuffix = counterSuffix;
  }

  /** The last part of the names of counters of this result, which operators' tools depend on. */
  public String counterSuffix() {
    return counterSuffix;
  }
}
