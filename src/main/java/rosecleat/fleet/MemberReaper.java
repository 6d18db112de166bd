package rosecleat.fleet;

import java.util.List;

/** Removes members that have been gone for long, now and then. */
final class MemberReaper {
  /** Rounds between two runs. */
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

  /** Once a period: removes whom it is time to forget. */
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

  /** Dead members are kept while a partition is suspected: they may be on its other side. */
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
