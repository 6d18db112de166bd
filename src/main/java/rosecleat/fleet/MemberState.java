package rosecleat.fleet;

/**
 * The state of a member; a later one overrides an earlier one of the same incarnation. The order is
 * that of the wire's enumeration.
 */
public enum MemberState {
  /** It answers. */
  ALIVE,
  /** A probe of it failed, and it may still refute the suspicion. */
  SUSPECT,
  /** It did not refute a suspicion in time. */
  DEAD,
  /** It left gracefully. */
  LEFT;

  /** Whether it counts among the members that are there. */
  public boolean isActive() {
    return this == ALIVE || this == SUSPECT;
  }
}
