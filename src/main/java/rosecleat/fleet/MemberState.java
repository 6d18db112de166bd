package rosecleat.fleet;

/** How a member stands; a later one overrides an earlier one of the same incarnation. */
public enum MemberState {
  /** It answers. */
  ALIVE,
  /** It did not answer somebody, and may still say that it is there. */
  SUSPECT,
  /** It did not say so in time. */
  DEAD,
  /** It said that it goes. */
  LEFT;

  /** Whether it counts among those that are there. */
  public boolean isActive() {
    return this == ALIVE || this == SUSPECT;
  }
}
