package rosecleat.takeover;

/**
 * Amounts of the limits that the processes of a node share: calls below, KB of memory, requests
 * run.
 */
public record ResourceAmounts(double calls, double memoryKb, double running) {
  /** Nothing. */
  public static final ResourceAmounts NONE = new ResourceAmounts(0, 0, 0);

  /** Both together. */
  public ResourceAmounts plus(ResourceAmounts more) {
    return new ResourceAmounts(
        calls + more.calls, memoryKb + more.memoryKb, running + more.running);
  }

  /** What is left without that, nothing at the least. */
  public ResourceAmounts less(ResourceAmounts that) {
    return new ResourceAmounts(
        Math.max(0, calls - that.calls),
        Math.max(0, memoryKb - that.memoryKb),
        Math.max(0, running - that.running));
  }

  /** So many times this. */
  public ResourceAmounts times(double part) {
    return new ResourceAmounts(part * calls, part * memoryKb, part * running);
  }

  /** The smaller of each. */
  public ResourceAmounts atMost(ResourceAmounts that) {
    return new ResourceAmounts(
        Math.min(calls, that.calls),
        Math.min(memoryKb, that.memoryKb),
        Math.min(running, that.running));
  }
}
