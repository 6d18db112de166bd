package rosecleat.takeover;

/**
 * Amounts of the resources whose limits the processes of a node share.
 *
 * @param calls downstream calls, as a mean over the window of the call limit
 * @param memoryKb memory of admitted requests (KB)
 * @param running requests that run concurrently
 */
public record ResourceAmounts(double calls, double memoryKb, double running) {
  /** Zero of each resource. */
  public static final ResourceAmounts NONE = new ResourceAmounts(0, 0, 0);

  /** Returns the sum of these and the other amounts. */
  public ResourceAmounts plus(ResourceAmounts other) {
    return new ResourceAmounts(
        calls + other.calls, memoryKb + other.memoryKb, running + other.running);
  }

  /** Returns these amounts less the other amounts, at least zero for each resource. */
  public ResourceAmounts minus(ResourceAmounts other) {
    return new ResourceAmounts(
        Math.max(0, calls - other.calls),
        Math.max(0, memoryKb - other.memoryKb),
        Math.max(0, running - other.running));
  }

  /** Returns these amounts multiplied by a factor. */
  public ResourceAmounts times(double factor) {
    return new ResourceAmounts(factor * calls, factor * memoryKb, factor * running);
  }

  /** Returns the smaller amount of each resource. */
  public ResourceAmounts min(ResourceAmounts other) {
    return new ResourceAmounts(
        Math.min(calls, other.calls),
        Math.min(memoryKb, other.memoryKb),
        Math.min(running, other.running));
  }
}
