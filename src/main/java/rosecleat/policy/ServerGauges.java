package rosecleat.policy;

/** The server's gauges as last read; one that is not offered is negative. Mutable, to be reused. */
public final class ServerGauges {
  /** Share of the cores that was busy of late. */
  public double coreUtilisation = -1;

  /** Number of threads or requests that want a core right now. */
  public double runnable = -1;

  /** Share of the memory in use. */
  public double memoryShare = -1;

  /** Open connections. */
  public double connections = -1;
}
