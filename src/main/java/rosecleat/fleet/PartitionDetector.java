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
          "at least half of the fleet is dead: this process may be partitioned, dead members are"
              + " retained for now");
      effects.count(MembershipCounter.PARTITION_SUSPECTED);
    } else {
      effects.info("more than half of the fleet is active again");
      effects.count(MembershipCounter.PARTITION_HEALED);
    }
  }
}
