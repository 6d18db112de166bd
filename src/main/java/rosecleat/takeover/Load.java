package rosecleat.takeover;

/**
 * Amounts of the limits that the processes of a node share: calls below, KB of memory, requests
 * run.
 */
public record Load(double calls, double memoryKb, double running) {
  /** Nothing. */
  public static final Load NONE = new Load(0, 0, 0);

  /** Both together. */
  public Load plus(Load more) {
    return new Load(calls + more.calls, memoryKb + more.memoryKb, running + more.running);
  }

  /** What is left without that, nothing at the least. */
  public Load less(Load that) {
    return new Load(
        Math.max(0, calls - that.calls),
        Math.max(0, memoryKb - that.memoryKb),
        Math.max(0, running - that.running));
  }

  /** So many times this. */
  public Load times(double part) {
    return new Load(part * calls, part * memoryKb, part * running);
  }

  /** The smaller of each. */
  public Load atMost(Load that) {
    return new Load(
        Math.min(calls, that.calls),
        Math.min(memoryKb, that.memoryKb),
        Math.min(running, that.running));
  }
}
