package rosecleat.fleet;

import java.util.List;

/**
 * Merges updates from other members into the member list. States are ordered by incarnation, then
 * alive, suspect, dead, left, so that the result does not depend on the order of delivery.
 */
final class MemberUpdateHandler {
  /**
   * A member from which a message arrived within so many periods is probed before a reported death
   * is accepted.
   */
  private static final int RECENT_MESSAGE_PERIODS = 2;

  private final ProtocolContext context;
  private final Dissemination dissemination;
  private final FailureDetector detector;
  private final SuspicionTracker suspicions;
  private final RefutationRequests refutations;
  private final AntiEntropy antiEntropy;
  private final SelfUpdateHandler selfUpdates;

  MemberUpdateHandler(
      ProtocolContext context,
      Dissemination dissemination,
      FailureDetector detector,
      SuspicionTracker suspicions,
      RefutationRequests refutations,
      AntiEntropy antiEntropy,
      SelfUpdateHandler selfUpdates) {
    this.context = context;
    this.dissemination = dissemination;
    this.detector = detector;
    this.suspicions = suspicions;
    this.refutations = refutations;
    this.antiEntropy = antiEntropy;
    this.selfUpdates = selfUpdates;
  }

  /** Merges one update. */
  void handle(MemberUpdate update, MemberUpdate.Source source, long nowUs) {
    MemberId self = context.self().id;
    if (update.id().equals(self)) {
      selfUpdates.onUpdateOfSelf(update, nowUs);
      return;
    }
    if (update.id().name().equals(self.name())) {
      selfUpdates.onUpdateOfSameName(update, nowUs);
    }
    Member member = context.members().get(update.id());
    if (member == null) {
      join(update, source, nowUs);
      return;
    }
    switch (update.state()) {
      case ALIVE -> onAlive(member, update, source, nowUs);
      case SUSPECT -> onSuspect(member, update, nowUs);
      case DEAD -> onDead(member, update, source, nowUs);
      case LEFT -> onLeft(member, update, nowUs);
      default -> throw new IllegalStateException("unexpected member state " + update.state());
    }
  }

  private void onAlive(Member member, MemberUpdate update, MemberUpdate.Source source, long nowUs) {
    if (update.incarnation() > member.incarnation) {
      markAlive(member, update, nowUs);
    } else if (update.incarnation() == member.incarnation
        && member.state == MemberState.DEAD
        && source == MemberUpdate.Source.SYNC) {
      requestRefutation(member, nowUs);
    }
  }

  private void onSuspect(Member member, MemberUpdate update, long nowUs) {
    if (update.incarnation() > member.incarnation
        || (update.incarnation() == member.incarnation && member.state.isActive())) {
      suspicions.suspect(member, update.incarnation(), update.witness(), nowUs);
    }
  }

  private void onDead(Member member, MemberUpdate update, MemberUpdate.Source source, long nowUs) {
    boolean newer = update.incarnation() > member.incarnation;
    boolean same = update.incarnation() == member.incarnation;
    if (same
        && member.state == MemberState.ALIVE
        && (source == MemberUpdate.Source.SYNC || hasRecentMessage(member, nowUs))) {
      verifyDeath(member, nowUs);
    } else if ((newer && member.state != MemberState.LEFT) || (same && member.state.isActive())) {
      markInactive(member, MemberState.DEAD, update.incarnation(), nowUs);
    }
  }

  private boolean hasRecentMessage(Member member, long nowUs) {
    return nowUs - member.lastMessageUs < RECENT_MESSAGE_PERIODS * context.periodUs();
  }

  private void onLeft(Member member, MemberUpdate update, long nowUs) {
    if (update.incarnation() > member.incarnation
        || (update.incarnation() == member.incarnation && member.state != MemberState.LEFT)) {
      markInactive(member, MemberState.LEFT, update.incarnation(), nowUs);
    }
  }

  /** Requests a refutation from a member that is dead in this view. */
  void requestRefutation(Member member, long nowUs) {
    refutations.add(member);
    refutations.requestRound(nowUs);
  }

  /**
   * Probes a member that is alive in this view before the death reported by another member is
   * accepted.
   */
  private void verifyDeath(Member member, long nowUs) {
    if (detector.isFull()) {
      requestRefutation(member, nowUs);
    } else {
      detector.verifyDeath(member, nowUs);
    }
  }

  private void markAlive(Member member, MemberUpdate update, long nowUs) {
    boolean returned = !member.state.isActive();
    context
        .members()
        .change(
            member,
            () -> {
              member.state = MemberState.ALIVE;
              member.incarnation = update.incarnation();
              member.endpoint = update.endpoint();
              member.zone = update.zone();
              member.stateSinceUs = nowUs;
            });
    dissemination.broadcast(member, nowUs);
    member.clearWitnesses();
    EffectQueue effects = context.effects();
    effects.count(returned ? MembershipCounter.RETURNED : MembershipCounter.REFUTED);
    if (returned) {
      effects.info(member.id + " at " + member.endpoint + " is alive again");
      antiEntropy.onMemberReturned(nowUs);
    }
    replaceEarlierStarts(member, nowUs);
    effects.viewChanged();
  }

  /** Marks a member dead or left. */
  void markInactive(Member member, MemberState state, long incarnation, long nowUs) {
    boolean wasActive = member.state.isActive();
    context
        .members()
        .change(
            member,
            () -> {
              member.state = state;
              member.incarnation = incarnation;
              member.stateSinceUs = nowUs;
            });
    dissemination.broadcast(member, nowUs);
    member.clearWitnesses();
    if (!wasActive) {
      return;
    }
    EffectQueue effects = context.effects();
    if (state == MemberState.LEFT) {
      effects.count(MembershipCounter.LEFT);
      effects.info(member.id + " has left");
    } else {
      effects.count(MembershipCounter.REPORTED_DEAD);
      effects.warn(member.id + " is dead: reported by other members");
    }
    effects.viewChanged();
  }

  private void join(MemberUpdate update, MemberUpdate.Source source, long nowUs) {
    MemberList members = context.members();
    if (members.size() >= Tuning.MAX_MEMBERS && !members.removeLongestInactive()) {
      context.effects().count(MembershipCounter.MEMBERS_FULL);
      return;
    }
    Member member =
        new Member(
            update.id(),
            update.endpoint(),
            update.zone(),
            update.state(),
            update.incarnation(),
            nowUs);
    boolean suspected = update.state() == MemberState.SUSPECT;
    if (suspected) {
      suspicions.track(member, update.witness(), nowUs);
    }
    members.add(member);
    if (!update.state().isActive()) {
      return;
    }
    context.effects().count(MembershipCounter.JOINED);
    context.effects().info(joinLine(member));
    int transmissions =
        source == MemberUpdate.Source.SYNC
            ? Dissemination.SYNCED_TRANSMISSIONS
            : dissemination.usualTransmissions();
    dissemination.broadcast(member, suspected ? update.witness() : 0, transmissions, nowUs);
    replaceEarlierStarts(member, nowUs);
    context.effects().viewChanged();
  }

  private static String joinLine(Member member) {
    String zone = member.zone.isEmpty() ? "" : " in zone " + member.zone;
    return member.id + " at " + member.endpoint + zone + " has joined";
  }

  /** Marks earlier starts at a member's address dead: two processes cannot share an address. */
  private void replaceEarlierStarts(Member latest, long nowUs) {
    for (Member other : List.copyOf(context.members().named(latest.id.name()))) {
      if (other != context.self()
          && other.id.epoch() < latest.id.epoch()
          && other.state.isActive()
          && other.endpoint.equals(latest.endpoint)) {
        context
            .members()
            .change(
                other,
                () -> {
                  other.state = MemberState.DEAD;
                  other.stateSinceUs = nowUs;
                });
        dissemination.discard(other.id);
        context.effects().count(MembershipCounter.REPLACED);
      }
    }
  }
}
