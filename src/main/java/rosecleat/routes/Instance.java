package rosecleat.routes;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * An instance of a service and its address.
 *
 * @param weight relative share of the service's requests, above 0
 * @param capacity number of requests that the instance processes at once; 0 if not declared
 */
public record Instance(
    String host, int port, String zone, double weight, State state, int capacity) {
  /** Whether the instance accepts requests. */
  public enum State {
    /** The instance accepts requests. */
    ON(0),
    /** The instance completes its current requests and accepts no new ones. */
    DRAIN(1),
    /** The instance accepts no requests. */
    OFF(2);

    private static final Map<Integer, State> BY_WIRE_VALUE =
        Arrays.stream(values())
            .collect(Collectors.toUnmodifiableMap(State::wireValue, Function.identity()));

    private final int wireValue;

    State(int wireValue) {
      this.wireValue = wireValue;
    }

    /** Returns the number that represents this state in messages. */
    int wireValue() {
      return wireValue;
    }

    /** Returns the state that a number represents in messages; empty if there is none. */
    static Optional<State> ofWireValue(int wireValue) {
      return Optional.ofNullable(BY_WIRE_VALUE.get(wireValue));
    }
  }

  /**
   * Returns the text from which digests are computed. Processes of all versions must produce the
   * same text for the same instance, so its literals must not follow renames of the record
   * components.
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
