package rosecleat.routes;

/**
 * One instance of a service.
 *
 * @param weight its part of the work beside the others', above 0
 * @param places how many requests it works on at once; 0 where that is not said
 */
public record Instance(String host, int port, String zone, double weight, State state, int places) {
  /** Whether it takes requests. */
  public enum State {
    /** It does. */
    ON,
    /** It finishes what it has, and takes nothing new. */
    DRAIN,
    /** It takes nothing. */
    OFF
  }
}
