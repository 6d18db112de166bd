package rosecleat.fleet;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import rosecleat.fleet.wire.MemberUpdateMessage;

/**
 * One member's part in the membership protocol: SWIM's failure detector and gossip, Lifeguard's
 * local health, push/pull anti-entropy, and the records that members share. It does no input or
 * output: it is driven by {@link #onTimer}, {@link #onDatagram} and {@link ExchangeSession}s, and
 * what is to be done comes out of {@link #drainEffects}. Its clock (us) never goes back and need
 * not be the time of day. For one thread.
 */
public final class MembershipProtocol {
  /** Steps of local health that double the period. */
  private static final int PERIOD_HEALTH_STEPS = 4;

  /** A pause of this process costs so much local health. */
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

  /** When this member was created; its first timer is due then. */
  private final long startUs;

  private boolean timersStarted;
  private boolean wasSettled;

  /** A member that knows itself alone. */
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
    // a random phase: processes that start together must not fall in step
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

  /** What is to be done since this was last called, in order. */
  public List<Effect> drainEffects() {
    return context.effects().drain();
  }

  /** The identity of this process; its epoch may change. */
  public MemberId localId() {
    return context.self().id;
  }

  /** This process as it is announced to others. */
  public MemberUpdateMessage selfUpdate() {
    Member self = context.self();
    return WireCodec.encode(self, self.state, 0);
  }

  /** The endpoint of another member that is alive, or empty where there is none of the name. */
  public Optional<Endpoint> endpointOf(String name) {
    for (Member member : context.members().named(name)) {
      if (member != context.self() && member.state == MemberState.ALIVE) {
        return Optional.of(member.endpoint);
      }
    }
    return Optional.empty();
  }

  /** The number of known members, dead ones with them. */
  public int memberCount() {
    return context.members().size();
  }

  /** Lifeguard's local health score: 0 for healthy, up to {@link Tuning#MAX_LOCAL_HEALTH}. */
  public int localHealth() {
    return localHealth.score();
  }

  /** The state of a member, or empty where it is not known. */
  public Optional<MemberState> stateOf(MemberId id) {
    return Optional.ofNullable(context.members().get(id)).map(member -> member.state);
  }

  /** The digest of the active members; equal where their views are equal. */
  public long digest() {
    return context.members().viewDigest();
  }

  /** Whether the view is settled; see {@link ConvergenceDetector}. */
  public boolean isSettled(long nowUs) {
    convergence.observe(context.members().viewDigest(), nowUs);
    return convergence.isSettled(context.members(), antiEntropy.hasSeeds(), nowUs);
  }

  /** The membership as it is known now. */
  public MembershipView view(long nowUs) {
    return MembershipView.of(context.self().id, isSettled(nowUs), context.members());
  }

  /** All records of a kind. */
  public List<FleetRecord> recordsOfKind(String kind) {
    return records.ofKind(kind);
  }

  /** Writes a record of this process; false where it exceeds a limit. */
  public boolean publish(String kind, String key, byte[] payload, long ttlMs, long nowUs) {
    return records.publish(kind, key, payload, ttlMs, nowUs);
  }

  /** Leaves gracefully: announces it, and sends that at once to some members. */
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

  /** Answers a push/pull synchronization that another member has opened. */
  public ExchangeSession acceptSync() {
    return new SyncSession(context, receiver, false);
  }

  /** Handles a datagram; an invalid one only adds to a counter. */
  public void onDatagram(byte[] bytes, long nowUs) {
    context.setEventTimeUs(nowUs);
    receiver.onDatagram(bytes, nowUs);
  }

  /** Runs all timers that are due; returns when to call again at the latest. */
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
   * Guards other members against pauses of this process: what came meanwhile may not have been
   * handled yet, so a pause counts for no probe and no suspicion.
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
   * Probes the successor on the ring, so that somebody probes each member in every period, and the
   * next member of the random round, which covers a successor that died with its prober.
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

  /** Lets one dead member know that it is held for dead, in case only a partition kept it apart. */
  private void requestRefutationOfDead() {
    MemberList members = context.members();
    Member inactive = members.randomInactive();
    if (inactive != null && inactive.state == MemberState.DEAD && members.isLatestStart(inactive)) {
      refutations.add(inactive);
    }
  }
}
