package rosecleat.fleet;

import java.util.List;

/** Periodically removes members that have been dead, or have left, for long enough. */
final class MemberReaper {
  /** Protocol rounds between two runs. */
  private static final int INTERVAL_ROUNDS = 16;

  private final ProtocolContext context;
  private final PartitionDetector partitions;
  private final SelfUpdateHandler selfUpdates;

  MemberReaper(
      ProtocolContext context, PartitionDetector partitions, SelfUpdateHandler selfUpdates) {
    this.context = context;
    this.partitions = partitions;
    this.selfUpdates = selfUpdates;
  }

  /** Removes the members whose retention has ended; called once a period. */
  void onPeriod(long round, long nowUs) {
    if (round % INTERVAL_ROUNDS != 0) {
      return;
    }
    for (Member member : List.copyOf(context.members().inactive())) {
      if (isExpired(member, nowUs)) {
        context.members().remove(member);
        selfUpdates.clearNameConflict(member.id);
        context.effects().viewChanged();
      }
    }
  }

  /**
   * Returns whether a member's retention has ended. Dead members are retained while a partition is
   * suspected, since they may be alive on its other side; replaced starts are not.
   */
  private boolean isExpired(Member member, long nowUs) {
    long periods = (nowUs - member.stateSinceUs) / context.periodUs();
    if (member.state == MemberState.LEFT) {
      return periods > Tuning.LEFT_RETENTION_PERIODS;
    }
    boolean replaced = !context.members().isLatestStart(member);
    return (replaced && periods > Tuning.LEFT_RETENTION_PERIODS)
        || (periods > Tuning.DEAD_RETENTION_PERIODS && !partitions.isPartitionSuspected());
  }
}
