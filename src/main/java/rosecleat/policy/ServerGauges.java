package rosecleat.policy;

/** The server's gauges as last read; one that is not offered is negative. Mutable, to be reused. */
public final class ServerGauges {
  private static final double NOT_OFFERED = -1;

  /** Share of the cores that was busy of late. */
  public double coreUtilisation = NOT_OFFERED;

  /** Number of threads or requests that want a core right now. */
  public double runnable = NOT_OFFERED;

  /** Share of the memory in use. */
  public double memoryShare = NOT_OFFERED;

  /** Open connections. */
  public double connections = NOT_OFFERED;

  /** Sets the gauge of a name, as the settings name it; other names are ignored. */
  public void set(String name, double value) {
    switch (name) {
      case "core_use" -> coreUtilisation = value;
      case "on_cores" -> runnable = value;
      case "heap_share" -> memoryShare = value;
      case "links" -> connections = value;
      default -> {} // a gauge that the policy has no use for
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
