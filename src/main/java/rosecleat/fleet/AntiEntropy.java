package rosecleat.fleet;

import java.util.List;

/**
 * Decides when to open a push/pull synchronization, and with whom: to join by a seed, at regular
 * intervals, and when another member's digest keeps differing although gossip had time to mend it.
 */
final class AntiEntropy {
  /** Periods that a digest may differ before a sync, without and with updates still queued. */
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

  /** Compares another member's digest of all that it holds with the own one. */
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

  /** A member is back, perhaps with what was written on its side of a partition. */
  void onMemberReturned(long nowUs) {
    earliestNextUs = Math.min(earliestNextUs, nowUs);
    long delayUs = context.random().nextLong(2 * context.periodUs());
    nextPeriodicUs = Math.min(nextPeriodicUs, nowUs + delayUs);
  }

  /** Once a period: opens a sync that is due. */
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

  /** Joins the halves of a fleet that grew from two seeds. */
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
