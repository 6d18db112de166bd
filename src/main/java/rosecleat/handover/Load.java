package rosecleat.handover;

/** What a process takes of its node's limits: calls below in the mean of their span, KB of memory, requests run. */
public record Load(double calls, double memoryKb, double running) {
  /** Nothing. */
  public static final Load NONE = new Load(0, 0, 0);

  Load plus(Load more) {
    return new Load(calls + more.calls, memoryKb + more.memoryKb, running + more.running);
  }

  /**
   * What a process may take of a limit beside others: all that is its own, and half of what is free, since another may
   * take some of that before it is looked at again.
   */
  public static double part(double own, double others, double whole) {
    return own + Math.max(0, whole - own - others) / 2;
  }
}
