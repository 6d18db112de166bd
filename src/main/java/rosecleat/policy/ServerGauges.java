package rosecleat.policy;

/**
 * The last read gauges of a server. A gauge that the server does not offer is negative. Mutable, so
 * that the host can reuse it.
 */
public final class ServerGauges {
  private static final double NOT_OFFERED = -1;

  /** Share of the cores that was recently busy. */
  public double coreUtilisation = NOT_OFFERED;

  /** Number of threads or requests that run on a core or wait for one. */
  public double runnable = NOT_OFFERED;

  /** Share of the memory that is in use. */
  public double memoryShare = NOT_OFFERED;

  /** Number of open connections. */
  public double connections = NOT_OFFERED;

  /** Sets the gauge with a name from the settings; unknown names are ignored. */
  public void set(String name, double value) {
    switch (name) {
      case "core_use" -> coreUtilisation = value;
      case "on_cores" -> runnable = value;
      case "heap_share" -> memoryShare = value;
      case "links" -> connections = value;
      default -> {} // the policy does not use this gauge
    }
  }

  /** Marks every gauge as not offered. */
  public void clear() {
    coreUtilisation = NOT_OFFERED;
    runnable = NOT_OFFERED;
    memoryShare = NOT_OFFERED;
    connections = NOT_OFFERED;
  }
}
