package rosecleat.fleet;

import java.util.List;

/**
 * Decides when this member opens a push/pull synchronization and with which peer: with a seed to
 * join, with a random member at regular intervals, and with a member whose digest still differs
 * after gossip had time to repair the difference.
 */
final class AntiEntropy {
  /**
   * Periods for which digests may differ before a sync starts: the first while no member updates
   * are queued for gossip, the second while some are.
   */
  private static final int MISMATCH_PERIODS = 2;

  private static final int MISMATCH_PERIODS_WHILE_GOSSIPING = 3;

  private final ProtocolContext context;
  private final Dissemination dissemination;
  private final List<Endpoint> seeds;
  private long nextPeriodicUs;
  private long earliestNextUs;
  private long mismatchSinceUs = ProtocolContext.NEVER;

  AntiEntropy(
      ProtocolContext context, Dissemination dissemination, List<Endpoint> seeds, long nowUs) {
    this.context = context;
    this.dissemination = dissemination;
    this.seeds = seeds;
    nextPeriodicUs = nowUs;
  }

  boolean hasSeeds() {
    return !seeds.isEmpty();
  }

  /** Compares another member's digest of its replicated state with this member's own. */
  void onPeerDigest(Member peer, long peerDigest, long nowUs) {
    if (peerDigest == context.syncDigest()) {
      mismatchSinceUs = ProtocolContext.NEVER;
      return;
    }
    if (mismatchSinceUs == ProtocolContext.NEVER) {
      mismatchSinceUs = nowUs;
    }
    long mismatchUs = nowUs - mismatchSinceUs;
    long periodUs = context.periodUs();
    if (mismatchUs > MISMATCH_PERIODS * periodUs
        && (!dissemination.hasMemberUpdates()
            || mismatchUs > MISMATCH_PERIODS_WHILE_GOSSIPING * periodUs)) {
      startSync(peer.endpoint, SyncReason.DIGEST_MISMATCH, nowUs);
    }
  }

  /**
   * Permits a sync at once and schedules a periodic one within two periods: a returned member may
   * have records that were written on its side of a partition.
   */
  void onMemberReturned(long nowUs) {
    earliestNextUs = Math.min(earliestNextUs, nowUs);
    long delayUs = context.random().nextLong(2 * context.periodUs());
    nextPeriodicUs = Math.min(nextPeriodicUs, nowUs + delayUs);
  }

  /** Opens the syncs that are due; called once a period. */
  void onPeriod(long round, long nowUs) {
    boolean alone = context.members().activePeerCount() == 0;
    if (alone && hasSeeds()) {
      startSync(seeds.get((int) (round % seeds.size())), SyncReason.SEED, nowUs);
    } else if (round % Tuning.SYNC_INTERVAL_PERIODS == 0 && hasSeeds()) {
      syncWithUnknownSeed(nowUs);
    }
    if (nowUs >= nextPeriodicUs && !alone) {
      nextPeriodicUs = nowUs + context.jitter(context.periodUs() * Tuning.SYNC_INTERVAL_PERIODS);
      for (Member other : context.members().sample(1, null)) {
        startSync(other.endpoint, SyncReason.PERIODIC, nowUs);
      }
    }
  }

  /** Joins the parts of a fleet that formed around different seeds. */
  private void syncWithUnknownSeed(long nowUs) {
    Endpoint seed = seeds.get(context.random().nextInt(seeds.size()));
    boolean known =
        context.members().all().stream()
            .anyMatch(member -> member.state.isActive() && member.endpoint.equals(seed));
    if (!known) {
      startSync(seed, SyncReason.SEED, nowUs);
    }
  }

  private void startSync(Endpoint peer, SyncReason reason, long nowUs) {
    if (nowUs >= earliestNextUs && !context.isLeaving()) {
      earliestNextUs = nowUs + context.jitter(context.periodUs());
      mismatchSinceUs = ProtocolContext.NEVER;
      context.effects().startSync(peer, reason);
    }
  }
}
