package rosecleat.fleet;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The state of a member; a later one overrides an earlier one of the same incarnation. */
public enum MemberState {
  /** It answers. */
  ALIVE(0),
  /** A probe of it failed, and it may still refute the suspicion. */
  SUSPECT(1),
  /** It did not refute a suspicion in time. */
  DEAD(2),
  /** It left gracefully. */
  LEFT(3);

  private static final Map<Integer, MemberState> BY_WIRE_VALUE =
      Arrays.stream(values())
          .collect(Collectors.toUnmodifiableMap(MemberState::wireValue, Function.identity()));

  private final int wireValue;

  MemberState(int wireValue) {
    this.wireValue = wireValue;
  }

  /** Its number in the wire's enumeration, of which digests are made too. */
  int wireValue() {
    return wireValue;
  }

  /** The state with a number of the wire's enumeration; empty where there is none. */
  static Optional<MemberState> ofWireValue(int wireValue) {
    return Optional.ofNullable(BY_WIRE_VALUE.get(wireValue));
  }

  /** Whether it counts among the members that are there. */
  public boolean isActive() {
    return this == ALIVE || this == SUSPECT;
  }
}
