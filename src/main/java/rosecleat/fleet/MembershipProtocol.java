package rosecleat.fleet;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import rosecleat.fleet.wire.MemberUpdateMessage;

/**
 * One member's side of the membership protocol: SWIM's failure detector and gossip, Lifeguard's
 * local health, push/pull anti-entropy, and the records that members replicate. The protocol does
 * no input or output: {@link #onTimer}, {@link #onDatagram} and {@link ExchangeSession}s drive it,
 * and {@link #drainEffects} returns the resulting actions. Its clock (us) never goes back and need
 * not be the time of day. Not thread-safe: all calls come from one thread.
 */
public final class MembershipProtocol {
  /** Steps of the local health score that double the period. */
  private static final int PERIOD_HEALTH_STEPS = 4;

  /** Steps by which a pause of this process worsens its local health score. */
  private static final int PAUSE_HEALTH_PENALTY = 2;

  private final ProtocolContext context;
  private final LocalHealth localHealth;
  private final Dissemination dissemination;
  private final FailureDetector detector;
  private final SuspicionTracker suspicions;
  private final RefutationRequests refutations;
  private final Gossip gossip;
  private final RecordReplicator records;
  private final AntiEntropy antiEntropy;
  private final SelfUpdateHandler selfUpdates;
  private final MemberUpdateHandler memberUpdates;
  private final MessageReceiver receiver;
  private final ConvergenceDetector convergence;
  private final PartitionDetector partitions;
  private final MemberReaper reaper;
  private long round;
  private long nextPeriodUs;

  /** The time at which this member was created; its first timer is due then. */
  private final long startUs;

  private boolean timersStarted;
  private boolean wasSettled;

  /** Creates a member whose member list contains only the member itself. */
  public MembershipProtocol(LocalNode local, Tuning tuning, RandomGenerator random, long nowUs) {
    context = new ProtocolContext(local, tuning, random, nowUs);
    localHealth = new LocalHealth(tuning);
    dissemination = new Dissemination(context);
    DatagramSender sender = new DatagramSender(context, dissemination);
    detector = new FailureDetector(context, sender, localHealth, new ProbeFailures());
    suspicions = new SuspicionTracker(context, dissemination, detector, localHealth);
    refutations = new RefutationRequests(context, dissemination, sender, detector);
    gossip = new Gossip(context, dissemination, refutations, sender);
    records = new RecordReplicator(context, dissemination);
    List<Endpoint> seeds =
        local.seeds().stream().filter(seed -> !seed.equals(local.endpoint())).toList();
    antiEntropy = new AntiEntropy(context, dissemination, seeds, nowUs);
    selfUpdates = new SelfUpdateHandler(context, dissemination, records, localHealth);
    memberUpdates =
        new MemberUpdateHandler(
            context, dissemination, detector, suspicions, refutations, antiEntropy, selfUpdates);
    convergence = new ConvergenceDetector(tuning.periodUs(), nowUs);
    receiver =
        new MessageReceiver(context, memberUpdates, records, detector, antiEntropy, convergence);
    partitions = new PartitionDetector(context);
    reaper = new MemberReaper(context, partitions, selfUpdates);
    startUs = nowUs;
    // a random phase prevents processes that start together from running in step
    nextPeriodUs = nowUs + random.nextLong(tuning.periodUs());
  }

  /** Changes the state of members whose probes failed. */
  private final class ProbeFailures implements FailureDetector.Listener {
    @Override
    public void targetUnresponsive(Member target, long nowUs) {
      suspicions.suspect(target, target.incarnation, context.self().hash, nowUs);
    }

    @Override
    public void deathVerified(Member target, long nowUs) {
      memberUpdates.markInactive(target, MemberState.DEAD, target.incarnation, nowUs);
    }
  }

  /** Returns and clears the effects since the last call, in order. */
  public List<Effect> drainEffects() {
    return context.effects().drain();
  }

  /** Returns the identity of this process; its epoch may change. */
  public MemberId localId() {
    return context.self().id;
  }

  /** Returns the update by which this process announces itself to others. */
  public MemberUpdateMessage selfUpdate() {
    Member self = context.self();
    return WireCodec.encode(self, self.state, 0);
  }

  /**
   * Returns the endpoint of another member with a name that is alive, or empty if there is none.
   */
  public Optional<Endpoint> endpointOf(String name) {
    for (Member member : context.members().named(name)) {
      if (member != context.self() && member.state == MemberState.ALIVE) {
        return Optional.of(member.endpoint);
      }
    }
    return Optional.empty();
  }

  /** Returns the number of known members, including the dead ones and those that left. */
  public int memberCount() {
    return context.members().size();
  }

  /**
   * Returns Lifeguard's local health score: 0 for healthy, up to {@link Tuning#MAX_LOCAL_HEALTH}.
   */
  public int localHealth() {
    return localHealth.score();
  }

  /** Returns the state of a member, or empty if it is unknown. */
  public Optional<MemberState> stateOf(MemberId id) {
    return Optional.ofNullable(context.members().get(id)).map(member -> member.state);
  }

  /** Returns the digest of the active members; processes with equal views have equal digests. */
  public long digest() {
    return context.members().viewDigest();
  }

  /** Returns whether the view is settled; see {@link ConvergenceDetector}. */
  public boolean isSettled(long nowUs) {
    convergence.observe(context.members().viewDigest(), nowUs);
    return convergence.isSettled(context.members(), antiEntropy.hasSeeds(), nowUs);
  }

  /** Returns the current membership view. */
  public MembershipView view(long nowUs) {
    return MembershipView.of(context.self().id, isSettled(nowUs), context.members());
  }

  /** Returns all records of a kind. */
  public List<FleetRecord> recordsOfKind(String kind) {
    return records.ofKind(kind);
  }

  /** Writes a record of this process; returns false if it exceeds a limit. */
  public boolean publish(String kind, String key, byte[] payload, long ttlMs, long nowUs) {
    return records.publish(kind, key, payload, ttlMs, nowUs);
  }

  /** Leaves gracefully: announces the departure and sends it to some members at once. */
  public void leave(long nowUs) {
    if (context.isLeaving()) {
      return;
    }
    context.setLeaving();
    Member self = context.self();
    selfUpdates.announce(() -> self.state = MemberState.LEFT, nowUs);
    gossip.sendTo(2 * Tuning.MAX_GOSSIP_FANOUT);
  }

  /** Announces that this process is reached at another endpoint from now on. */
  public void changeEndpoint(Endpoint endpoint, long nowUs) {
    Member self = context.self();
    selfUpdates.announce(() -> self.endpoint = endpoint, nowUs);
  }

  /** Opens a push/pull synchronization. */
  public ExchangeSession openSync() {
    return new SyncSession(context, receiver, true);
  }

  /** Answers a push/pull synchronization that another member opened. */
  public ExchangeSession acceptSync() {
    return new SyncSession(context, receiver, false);
  }

  /** Handles a datagram; an invalid one only increments a counter. */
  public void onDatagram(byte[] bytes, long nowUs) {
    context.setEventTimeUs(nowUs);
    receiver.onDatagram(bytes, nowUs);
  }

  /** Runs all timers that are due; returns the time of the next call at the latest. */
  public long onTimer(long nowUs) {
    context.setEventTimeUs(nowUs);
    compensateForPause(nowUs);
    timersStarted = true;
    if (nowUs >= suspicions.nextTimeoutUs()) {
      suspicions.expire(nowUs);
    }
    if (nowUs >= detector.nextTimeoutUs()) {
      detector.runTimeouts(nowUs);
    }
    if (nowUs >= nextPeriodUs) {
      double healthFactor = localHealth.timeoutFactor(PERIOD_HEALTH_STEPS);
      nextPeriodUs = nowUs + (long) (context.jitter(context.periodUs()) * healthFactor);
      runPeriod(nowUs);
    }
    if (nowUs >= dissemination.nextRoundUs()) {
      gossip.runRound(nowUs);
    }
    return nextTimerUs();
  }

  private long nextTimerUs() {
    long probeOrSuspicionUs = Math.min(detector.nextTimeoutUs(), suspicions.nextTimeoutUs());
    return Math.min(probeOrSuspicionUs, Math.min(nextPeriodUs, dissemination.nextRoundUs()));
  }

  /**
   * Prevents a pause of this process from causing false suspicions of others: messages that arrived
   * meanwhile may not have been handled yet, so the pause does not count towards the timeouts of
   * probes and suspicions.
   */
  private void compensateForPause(long nowUs) {
    long lateUs = nowUs - (timersStarted ? nextTimerUs() : startUs);
    if (lateUs < context.periodUs() / 2 || !context.tuning().localHealth()) {
      return;
    }
    context.effects().count(MembershipCounter.TIMER_LATE);
    localHealth.adjust(PAUSE_HEALTH_PENALTY);
    detector.extendTimeouts(lateUs);
    suspicions.extendTimeouts(lateUs);
  }

  private void runPeriod(long nowUs) {
    round++;
    if (context.isLeaving()) {
      return;
    }
    probeMembers(nowUs);
    requestRefutationOfDead();
    reaper.onPeriod(round, nowUs);
    records.expire(nowUs);
    antiEntropy.onPeriod(round, nowUs);
    refutations.requestRound(nowUs);
    partitions.update();
    boolean settled = isSettled(nowUs);
    if (settled != wasSettled) {
      wasSettled = settled;
      context.effects().viewChanged();
    }
  }

  /**
   * Probes the successor on the ring, so that each member is probed in every period, and the next
   * member of the random round, which covers members whose predecessor on the ring died with them.
   */
  private void probeMembers(long nowUs) {
    MemberList members = context.members();
    Member successor = members.ringSuccessor(context.self().hash);
    Member next = members.nextInProbeRound();
    if (successor != null) {
      detector.probe(successor, nowUs);
    }
    if (next != null && next != successor) {
      detector.probe(next, nowUs);
    }
  }

  /**
   * Requests a refutation from one random dead member, which may have been unreachable only because
   * of a partition.
   */
  private void requestRefutationOfDead() {
    MemberList members = context.members();
    Member inactive = members.randomInactive();
    if (inactive != null && inactive.state == MemberState.DEAD && members.isLatestStart(inactive)) {
      refutations.add(inactive);
    }
  }
}
