package rosecleat.fleet;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The state of a member; of two states with the same incarnation, the later in this order overrides
 * the earlier.
 */
public enum MemberState {
  /** The member answers probes. */
  ALIVE(0),
  /** A probe of the member failed; the member may still refute the suspicion. */
  SUSPECT(1),
  /** The member did not refute a suspicion in time. */
  DEAD(2),
  /** The member left gracefully. */
  LEFT(3);

  private static final Map<Integer, MemberState> BY_WIRE_VALUE =
      Arrays.stream(values())
          .collect(Collectors.toUnmodifiableMap(MemberState::wireValue, Function.identity()));

  private final int wireValue;

  MemberState(int wireValue) {
    this.wireValue = wireValue;
  }

  /** Returns the state's number in the wire enumeration, which is also an input of the digests. */
  int wireValue() {
    return wireValue;
  }

  /** Returns the state with a number of the wire enumeration, or empty if there is none. */
  static Optional<MemberState> ofWireValue(int wireValue) {
    return Optional.ofNullable(BY_WIRE_VALUE.get(wireValue));
  }

  /** Returns whether a member in this state belongs to the active members. */
  public boolean isActive() {
    return this == ALIVE || this == SUSPECT;
  }
}
