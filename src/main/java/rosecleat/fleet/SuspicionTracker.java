package rosecleat.fleet;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The suspected members. A suspicion begins with one witness, that is, a member that probed the
 * suspected one without an answer. Each further witness shortens its timeout (Lifeguard), and a
 * member that does not refute the suspicion in time is declared dead.
 */
final class SuspicionTracker {
  /** Steps of the local health score that double the timeout of a suspicion. */
  private static final int HEALTH_STEPS = 4;

  private final ProtocolContext context;
  private final Dissemination dissemination;
  private final FailureDetector detector;
  private final LocalHealth localHealth;
  private final Set<Member> suspects = new LinkedHashSet<>();
  private long nextTimeoutUs = ProtocolContext.NEVER;

  SuspicionTracker(
      ProtocolContext context,
      Dissemination dissemination,
      FailureDetector detector,
      LocalHealth localHealth) {
    this.context = context;
    this.dissemination = dissemination;
    this.detector = detector;
    this.localHealth = localHealth;
  }

  /** Returns the time at which {@link #expire} is due. */
  long nextTimeoutUs() {
    return nextTimeoutUs;
  }

  /** Starts a suspicion of a member, or adds a witness to the current one. */
  void suspect(Member member, long incarnation, long witness, long nowUs) {
    if (member.state != MemberState.SUSPECT || incarnation > member.incarnation) {
      begin(member, incarnation, nowUs);
      if (witness != context.self().hash && shouldConfirm(member)) {
        detector.confirm(member, nowUs);
      }
    }
    if (member.addWitness(witness)) {
      dissemination.broadcastSuspicion(member, witness, nowUs);
      scheduleTimeout(member);
    }
  }

  private void begin(Member member, long incarnation, long nowUs) {
    context
        .members()
        .change(
            member,
            () -> {
              member.state = MemberState.SUSPECT;
              member.incarnation = incarnation;
              member.stateSinceUs = nowUs;
            });
    member.clearWitnesses();
    member.suspicionStartUs = nowUs;
    suspects.add(member);
    context.effects().viewChanged();
    context.effects().count(MembershipCounter.SUSPECTED);
  }

  /**
   * Tracks a member that was already suspected when this process first received an update of it.
   */
  void track(Member member, long witness, long nowUs) {
    member.addWitness(witness);
    member.suspicionStartUs = nowUs;
    suspects.add(member);
    scheduleTimeout(member);
  }

  private void scheduleTimeout(Member member) {
    nextTimeoutUs = Math.min(nextTimeoutUs, timeoutUs(member));
  }

  private void scheduleTimeouts() {
    nextTimeoutUs = ProtocolContext.NEVER;
    suspects.forEach(this::scheduleTimeout);
  }

  /**
   * Returns whether this process is among the few that probe a suspected member themselves.
   * Rendezvous hashing selects them without coordination between members.
   */
  private boolean shouldConfirm(Member suspected) {
    Member self = context.self();
    long ownRank = Hash.mix(self.hash ^ suspected.hash);
    int ahead = 0;
    for (Member other : context.members().all()) {
      if (other.state == MemberState.ALIVE
          && other != suspected
          && other != self
          && Hash.mix(other.hash ^ suspected.hash) > ownRank
          && ++ahead >= Tuning.CONFIRMING_MEMBERS) {
        return false;
      }
    }
    return true;
  }

  /** Declares the members dead whose suspicions have timed out without a refutation. */
  void expire(long nowUs) {
    removeResolved();
    for (Member member : List.copyOf(suspects)) {
      if (nowUs >= timeoutUs(member)) {
        declareDead(member, nowUs);
      }
    }
    removeResolved();
    scheduleTimeouts();
  }

  private void declareDead(Member member, long nowUs) {
    context
        .members()
        .change(
            member,
            () -> {
              member.state = MemberState.DEAD;
              member.stateSinceUs = nowUs;
            });
    EffectQueue effects = context.effects();
    effects.count(MembershipCounter.DECLARED_DEAD);
    effects.warn(
        member.id
            + " at "
            + member.endpoint
            + " is dead: suspicion not refuted in time, witnesses: "
            + member.witnesses.size());
    dissemination.broadcast(member, nowUs);
    effects.viewChanged();
  }

  /** Extends all suspicions by the time for which this process was paused. */
  void extendTimeouts(long pauseUs) {
    removeResolved();
    suspects.forEach(member -> member.suspicionStartUs += pauseUs);
    scheduleTimeouts();
  }

  private void removeResolved() {
    suspects.removeIf(member -> member.state != MemberState.SUSPECT);
  }

  /**
   * Returns the time at which a suspicion ends. Its duration decreases logarithmically from {@link
   * Tuning#MAX_SUSPICION_FACTOR} times the shortest timeout with one witness to the shortest
   * timeout with all required confirmations.
   */
  private long timeoutUs(Member member) {
    int others = context.members().activePeerCount();
    int requiredConfirmations = Math.max(0, Math.min(Tuning.SUSPICION_CONFIRMATIONS, others - 2));
    int confirmations = Math.min(requiredConfirmations, member.witnesses.size() - 1);
    long shortestUs = context.tuning().suspicionUs(others + 1);
    double progress =
        requiredConfirmations == 0
            ? 1
            : Math.log(confirmations + 1) / Math.log(requiredConfirmations + 1);
    double durationUs =
        shortestUs * (Tuning.MAX_SUSPICION_FACTOR - (Tuning.MAX_SUSPICION_FACTOR - 1) * progress);
    return member.suspicionStartUs + (long) (durationUs * localHealth.timeoutFactor(HEALTH_STEPS));
  }
}
