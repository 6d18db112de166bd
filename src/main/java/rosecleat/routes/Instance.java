package rosecleat.routes;

/**
 * One instance of a service.
 *
 * @param weight its share of the work relative to the other instances, above 0
 * @param capacity how many requests it works on at once; 0 where that is not declared
 */
public record Instance(
    String host, int port, String zone, double weight, State state, int capacity) {
  /** Whether it takes requests. */
  public enum State {
    /** It does. */
    ON,
    /** It finishes what it has, and takes nothing new. */
    DRAIN,
    /** It takes nothing. */
    OFF
  }

  /**
   * The text that digests are made of. Processes of all versions must make the same text of the
   * same instance, so it is fixed here and does not follow the names of the components.
   */
  String canonicalText() {
    return "Instance[host="
        + host
        + ", port="
        + port
        + ", zone="
        + zone
        + ", weight="
        + weight
        + ", state="
        + state
        + ", places="
        + capacity
        + "]";
  }
}
