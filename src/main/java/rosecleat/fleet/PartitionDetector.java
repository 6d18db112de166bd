package rosecleat.fleet;

/**
 * Detects that at least half of the fleet is dead in this view, so that this process may itself be
 * partitioned from the rest.
 */
final class PartitionDetector {
  private final ProtocolContext context;
  private boolean suspected;

  PartitionDetector(ProtocolContext context) {
    this.context = context;
  }

  /** Returns whether this process may be partitioned from the rest of the fleet. */
  boolean isPartitionSuspected() {
    return suspected;
  }

  /** Compares the number of active members with that of all members that did not leave. */
  void update() {
    MemberList members = context.members();
    boolean now = !members.hasActiveMajority();
    if (now == suspected) {
      return;
    }
    suspected = now;
    EffectQueue effects = context.effects();
    if (now) {
      effects.warn(
          "half of the fleet or more has gone: this process may be cut off, and forgets"
              + " nobody for now");
      effects.count(MembershipCounter.PARTITION_SUSPECTED);
    } else {
      effects.info("most of the fleet is there again");
      effects.count(MembershipCounter.PARTITION_HEALED);
    }
  }
}
