package rosecleat.routes;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

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
    ON(0),
    /** It finishes what it has, and takes nothing new. */
    DRAIN(1),
    /** It takes nothing. */
    OFF(2);

    private static final Map<Integer, State> BY_WIRE_VALUE =
        Arrays.stream(values())
            .collect(Collectors.toUnmodifiableMap(State::wireValue, Function.identity()));

    private final int wireValue;

    State(int wireValue) {
      this.wireValue = wireValue;
    }

    /** Its number on the wire. */
    int wireValue() {
      return wireValue;
    }

    /** The state with a number on the wire; empty where there is none. */
    static Optional<State> ofWireValue(int wireValue) {
      return Optional.ofNullable(BY_WIRE_VALUE.get(wireValue));
    }
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
