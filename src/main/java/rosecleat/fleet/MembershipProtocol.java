package rosecleat.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import rosecleat.fleet.wire.Ack;
import rosecleat.fleet.wire.Datagram;
import rosecleat.fleet.wire.Exchange;
import rosecleat.fleet.wire.MemberNews;
import rosecleat.fleet.wire.Nack;
import rosecleat.fleet.wire.Ping;
import rosecleat.fleet.wire.PingRequest;
import rosecleat.fleet.wire.RecordNews;

/**
 * One process's part in its fleet: what it holds of the others, and what it says to whom. Driven by
 * {@link #onTimer}, {@link #onDatagram} and {@link Talk}; what is to be done comes out of {@link
 * #drainEffects}. Its clock is any that never goes back (us); it need not be the time of day. For
 * one thread.
 */
public final class MembershipProtocol {
  private static final long NEVER = Long.MAX_VALUE;

  /** What a datagram takes without news, at the most (bytes). */
  private static final int HEAD = 360;

  private static final int MOST_PROBES = 64;
  private static final int MOST_APPEALS = 4_096;
  private static final int APPEALS_AT_A_TIME = 12;

  /**
   * What was known elsewhere before is passed on so often: most have it, and exchanges do the rest.
   */
  private static final int OLD_NEWS = 2;

  /** Guards the memory where nobody carries out what is asked. */
  private static final int MOST_EFFECTS = 100_000;

  private final Tuning tuning;
  private final RandomGenerator random;
  private final long periodUs;
  private final String cluster;
  private final List<Endpoint> seeds;
  private final List<Effect> effects = new ArrayList<>();
  private final Map<Integer, Probe> probes = new LinkedHashMap<>();
  private final DisseminationQueue<MemberNews> memberRumours = new DisseminationQueue<>();
  private final DisseminationQueue<FleetRecord.Key> recordRumours = new DisseminationQueue<>();
  private final ArrayDeque<Member> appeals = new ArrayDeque<>();
  private final Set<Member> appealing = new HashSet<>();
  private final Set<Member> suspects = new LinkedHashSet<>();
  private final Set<MemberId> twins = new HashSet<>();
  private final Map<String, Long> versions = new HashMap<>();
  private MemberList members;
  private final RecordStore records = new RecordStore();
  private final ConvergenceDetector agreement;
  private Member self;
  private int health;
  private int seq;
  private long nextPeriodUs;
  private long nextProbeUs = NEVER;
  private long nextCertainUs = NEVER;
  private long nextGossipUs = NEVER;
  private long nextExchangeUs;
  private long mayMeetUs;
  private long differsSinceUs = NEVER;
  private long dueUs;
  private long round;
  private boolean left;
  private boolean cut;
  private boolean wasSettled;

  /** A process that knows itself alone. */
  public MembershipProtocol(LocalNode who, Tuning tuning, RandomGenerator random, long nowUs) {
    this.tuning = tuning;
    this.random = random;
    periodUs = tuning.periodUs();
    cluster = who.cluster();
    seeds = who.seeds().stream().filter(seed -> !seed.equals(who.endpoint())).toList();
    members = new MemberList(who.id(), random);
    self = new Member(who.id(), who.endpoint(), who.zone(), MemberState.ALIVE, 1, nowUs);
    members.add(self);
    agreement = new ConvergenceDetector(periodUs, nowUs);
    nextPeriodUs =
        nowUs + random.nextLong(periodUs); // processes started together must not fall in step
    nextExchangeUs = nowUs;
    dueUs = nowUs;
  }

  // ---- what others ask of it

  /** What is to be done since it was last asked, in order. */
  public List<Effect> drainEffects() {
    List<Effect> all = List.copyOf(effects);
    effects.clear();
    return all;
  }

  /** Who it is. */
  public MemberId localId() {
    return self.id;
  }

  /** Itself, as it is told to others. */
  public MemberNews selfUpdate() {
    return WireCodec.news(self, self.state, 0);
  }

  /** The endpoint of another member that is alive, or empty where there is none of the name. */
  public Optional<Endpoint> endpointOf(String name) {
    for (Member member : members.named(name)) {
      if (member != self && member.state == MemberState.ALIVE) {
        return Optional.of(member.at);
      }
    }
    return Optional.empty();
  }

  /** MemberList known, dead ones with them. */
  public int memberCount() {
    return members.size();
  }

  /** How slow it holds itself to be: 0 for not at all, up to {@link Tuning#WORST_HEALTH}. */
  public int localHealth() {
    return health;
  }

  /** The state of a member, or empty where it is not known. */
  public Optional<MemberState> stateOf(MemberId id) {
    return Optional.ofNullable(members.get(id)).map(member -> member.state);
  }

  /** The digest of those that are there. */
  public long digest() {
    return members.digest();
  }

  /** Whether its view is settled; see {@link ConvergenceDetector}. */
  public boolean isSettled(long nowUs) {
    agreement.look(members.digest(), nowUs);
    return agreement.holds(members, !seeds.isEmpty(), nowUs);
  }

  /** What it holds now. */
  public MembershipView view(long nowUs) {
    List<MembershipView.MemberInfo> seen = new ArrayList<>();
    Map<String, List<Member>> names = new HashMap<>();
    for (Member member : members.all()) {
      names.computeIfAbsent(member.id.name(), n -> new ArrayList<>(1)).add(member);
    }
    for (List<Member> same : names.values()) {
      boolean here = same.stream().anyMatch(m -> m.state.isActive());
      for (Member m : same) {
        if (here ? m.state.isActive() : members.newest(m)) {
          seen.add(new MembershipView.MemberInfo(m.id, m.at, m.zone, m.state, m.incarnation));
        }
      }
    }
    seen.sort(
        Comparator.comparing((MembershipView.MemberInfo s) -> s.id().name())
            .thenComparingLong(s -> s.id().epoch()));
    return new MembershipView(self.id, isSettled(nowUs), members.digest(), List.copyOf(seen));
  }

  /** All records of a kind. */
  public List<FleetRecord> recordsOfKind(String kind) {
    List<FleetRecord> found = new ArrayList<>();
    for (RecordStore.StoredRecord held : records.all()) {
      if (held.record.kind().equals(kind)) {
        found.add(held.record);
      }
    }
    return found;
  }

  /** Writes a record of its own; false where it is too large. */
  public boolean publish(String kind, String key, byte[] payload, long ttlMs, long nowUs) {
    String name = kind + "\0" + key;
    long version = Math.max(versions.getOrDefault(name, 0L), held(kind, key)) + 1;
    FleetRecord record =
        new FleetRecord(self.id.name(), self.id.epoch(), kind, key, version, ttlMs, payload);
    if (!records.take(record, 0, nowUs)) {
      count("record.refused");
      return false;
    }
    versions.put(name, version);
    spread(record);
    wakeGossip(nowUs);
    return true;
  }

  private long held(String kind, String key) {
    RecordStore.StoredRecord held = records.get(new FleetRecord.Key(self.id.name(), kind, key));
    return held == null || held.record.epoch() != self.id.epoch() ? 0 : held.record.version();
  }

  /** Says that it goes; what is said last goes out at once, to as many as a datagram is worth. */
  public void leave(long nowUs) {
    if (left) {
      return;
    }
    left = true;
    members.change(
        self,
        () -> {
          self.incarnation++;
          self.state = MemberState.LEFT;
        });
    tell(self, 0, nowUs);
    for (Member other : members.some(2 * Tuning.MOST_FANOUT, null)) {
      send(other.at, datagram());
    }
  }

  /** It is reached elsewhere from now on. */
  public void changeEndpoint(Endpoint at, long nowUs) {
    members.change(
        self,
        () -> {
          self.at = at;
          self.incarnation++;
        });
    tell(self, 0, nowUs);
  }

  // ---- time

  /** Runs what is due; returns when to call again. */
  public long onTimer(long nowUs) {
    lastUs = nowUs;
    forgive(nowUs);
    if (nowUs >= nextCertainUs) {
      suspicions(nowUs);
    }
    if (nowUs >= nextProbeUs) {
      probes(nowUs);
    }
    if (nowUs >= nextPeriodUs) {
      // in step with nobody: a little early or late each time
      nextPeriodUs = nowUs + (long) (spread(periodUs) * slowness(4));
      period(nowUs);
    }
    if (nowUs >= nextGossipUs) {
      gossip(nowUs);
    }
    dueUs = Math.min(Math.min(nextPeriodUs, nextGossipUs), Math.min(nextProbeUs, nextCertainUs));
    return dueUs;
  }

  /**
   * What local health makes of a time: once as long for each {@code steps} steps that it is worse.
   */
  private double slowness(int steps) {
    return tuning.localHealth() ? 1 + (double) health / steps : 1;
  }

  private long spread(long us) {
    return us - us / 16 + random.nextLong(Math.max(1, us / 8));
  }

  private void probes(long nowUs) {
    for (Probe probe : List.copyOf(probes.values())) {
      if (nowUs >= probe.endUs) {
        probes.remove(probe.seq);
        failed(probe, nowUs);
      } else if (nowUs >= probe.askUs) {
        probe.askUs = NEVER;
        unanswered(probe, nowUs);
      }
    }
    nextProbeUs = NEVER;
    probes
        .values()
        .forEach(probe -> nextProbeUs = Math.min(nextProbeUs, Math.min(probe.askUs, probe.endUs)));
  }

  private void begin(Probe probe) {
    probes.put(probe.seq, probe);
    nextProbeUs = Math.min(nextProbeUs, Math.min(probe.askUs, probe.endUs));
    dueUs = Math.min(dueUs, nextProbeUs);
  }

  /**
   * Guards the others against this process's own pauses: what came meanwhile may not have been read
   * yet, so time that it stood still counts for no probe and no suspicion.
   */
  private void forgive(long nowUs) {
    long lateUs = nowUs - dueUs;
    if (lateUs < periodUs / 2 || !tuning.localHealth()) {
      return;
    }
    count("late");
    ill(2);
    for (Probe probe : probes.values()) {
      probe.askUs = probe.askUs == NEVER ? NEVER : probe.askUs + lateUs;
      probe.endUs += lateUs;
    }
    suspects.removeIf(member -> member.state != MemberState.SUSPECT);
    suspects.forEach(member -> member.suspectedUs += lateUs);
    nextProbeUs = NEVER;
    probes
        .values()
        .forEach(probe -> nextProbeUs = Math.min(nextProbeUs, Math.min(probe.askUs, probe.endUs)));
    nextCertainUs = NEVER;
    suspects.forEach(member -> nextCertainUs = Math.min(nextCertainUs, certainUs(member)));
  }

  private void period(long nowUs) {
    round++;
    if (left) {
      return;
    }
    Member watched = members.watched(self.hash);
    Member next = members.next();
    if (watched != null) {
      probe(watched, false, nowUs);
    }
    if (next != null && next != watched) {
      probe(next, false, nowUs);
    }
    Member gone = members.gone();
    if (gone != null && gone.state == MemberState.DEAD && members.newest(gone)) {
      appeal(gone);
    }
    forget(nowUs);
    for (FleetRecord dropped : records.age(this::ownerIsHere, nowUs)) {
      effects.add(new Effect.RecordChanged(dropped));
    }
    meetSomebody(nowUs);
    wakeAppeals(nowUs);
    lookForCut();
    boolean settled = isSettled(nowUs);
    if (settled != wasSettled) {
      wasSettled = settled;
      effects.add(new Effect.ViewChanged());
    }
  }

  private boolean ownerIsHere(FleetRecord record) {
    Member owner = members.get(new MemberId(record.owner(), record.epoch()));
    return owner != null && owner.state.isActive();
  }

  private void lookForCut() {
    boolean now = 2 * (members.others() + 1) <= members.expected();
    if (now != cut) {
      cut = now;
      say(
          now,
          now
              ? "half of the fleet or more has gone: this process may be cut off, and forgets"
                  + " nobody for now"
              : "most of the fleet is there again");
      count(now ? "cut" : "mended");
    }
  }

  /** Suspicions whose time is over: all independent witnesses agree, or none came. */
  private void suspicions(long nowUs) {
    suspects.removeIf(member -> member.state != MemberState.SUSPECT);
    for (Member member : List.copyOf(suspects)) {
      if (nowUs >= certainUs(member)) {
        members.change(
            member,
            () -> {
              member.state = MemberState.DEAD;
              member.sinceUs = nowUs;
            });
        count("dead");
        say(
            true,
            member.id
                + " at "
                + member.at
                + " is dead: it did not answer "
                + member.witnesses.size()
                + " witnesses");
        tell(member, 0, nowUs);
        changed();
      }
    }
    suspects.removeIf(member -> member.state != MemberState.SUSPECT);
    nextCertainUs = NEVER;
    suspects.forEach(member -> nextCertainUs = Math.min(nextCertainUs, certainUs(member)));
  }

  private long certainUs(Member member) {
    int others = members.others();
    int wanted = Math.max(0, Math.min(Tuning.WITNESSES, others - 2));
    int more = Math.min(wanted, member.witnesses.size() - 1);
    long least = tuning.suspicionUs(others + 1);
    double part = wanted == 0 ? 1 : Math.log(more + 1) / Math.log(wanted + 1);
    double us = least * (Tuning.MOST_SUSPICION - (Tuning.MOST_SUSPICION - 1) * part);
    return member.suspectedUs + (long) (us * slowness(4));
  }

  private void forget(long nowUs) {
    if (round % 16 != 0) {
      return;
    }
    for (Member member : List.copyOf(members.goneOnes())) {
      long periods = (nowUs - member.sinceUs) / periodUs;
      boolean replaced = member.state == MemberState.DEAD && !members.newest(member);
      if (member.state == MemberState.LEFT && periods > Tuning.REMEMBER_LEFT
          || replaced && periods > Tuning.REMEMBER_LEFT
          || member.state == MemberState.DEAD && periods > Tuning.REMEMBER_DEAD && !cut) {
        members.remove(member);
        twins.remove(member.id);
        changed();
      }
    }
  }

  // ---- probes

  private void probe(Member target, boolean asWitness, long nowUs) {
    if (probes.size() >= MOST_PROBES) {
      count("probes.full");
      return;
    }
    double slow = slowness(2);
    long directUs = (long) (Tuning.DIRECT * periodUs * slow);
    long endUs = asWitness ? 2 * directUs : (long) (periodUs * slow);
    Probe probe = new Probe(++seq, target, nowUs + directUs, nowUs + endUs, asWitness, null, 0);
    begin(probe);
    ping(target, probe.seq);
  }

  private void ping(Member target, int number) {
    Datagram.Builder datagram =
        head().setPing(Ping.newBuilder().setSeq(number).setTarget(WireCodec.who(target.id)));
    if (target.state != MemberState.ALIVE) { // told to its face, so that it can say otherwise
      datagram.addMembers(
          WireCodec.news(
              target,
              target.state == MemberState.LEFT ? MemberState.DEAD : target.state,
              self.hash));
    }
    send(target.at, datagram);
  }

  /** No direct answer: others are asked to try, in case only the way between is broken. */
  private void unanswered(Probe probe, long nowUs) {
    if (probe.asker != null) {
      send(probe.asker, head().setNack(Nack.newBuilder().setSeq(probe.askerSeq)));
      return;
    }
    if (probe.asWitness) {
      return;
    }
    Member target = probe.target;
    MemberNews news = WireCodec.news(target, target.state, self.hash);
    for (Member relay : members.some(Tuning.RELAYS, target)) {
      probe.asked++;
      send(relay.at, head().setRequest(PingRequest.newBuilder().setSeq(probe.seq).setTarget(news)));
    }
    ping(target, probe.seq);
  }

  private void failed(Probe probe, long nowUs) {
    if (probe.asker != null
        || !probe.target.state.isActive()
        || members.get(probe.target.id) != probe.target) {
      return;
    }
    count("probe.failed");
    if (probe.doubts) {
      if (probe.target.heardUs < nowUs - 2 * periodUs) {
        gone(
            probe.target,
            new WireCodec.MemberUpdate(
                probe.target.id,
                probe.target.at,
                probe.target.zone,
                MemberState.DEAD,
                probe.target.incarnation,
                0),
            nowUs);
      }
      return;
    }
    if (!probe.asWitness && probe.nacks < probe.asked) {
      ill(1); // relays did not even say that they had no answer: it may be this process that hears
      // nothing
    }
    if (probe.target.heardUs < nowUs - periodUs) {
      suspect(probe.target, probe.target.incarnation, self.hash, nowUs);
    }
  }

  private void ill(int more) {
    health = Math.max(0, Math.min(Tuning.WORST_HEALTH, health + more));
  }

  private void suspect(Member member, long incarnation, long witness, long nowUs) {
    boolean fresh = member.state != MemberState.SUSPECT || incarnation > member.incarnation;
    if (fresh) {
      members.change(
          member,
          () -> {
            member.state = MemberState.SUSPECT;
            member.incarnation = incarnation;
            member.sinceUs = nowUs;
          });
      member.witnesses = null;
      member.suspectedUs = nowUs;
      suspects.add(member);
      changed();
      count("suspected");
      if (witness != self.hash && watches(member)) {
        probe(member, true, nowUs);
      }
    }
    if (member.witness(witness)) {
      tell(member, witness, nowUs);
      suspected(member);
    }
  }

  /** A suspicion has begun or has a further witness. */
  private void suspected(Member member) {
    nextCertainUs = Math.min(nextCertainUs, certainUs(member));
    dueUs = Math.min(dueUs, nextCertainUs);
  }

  /**
   * Whether this process is among the few that look for themselves: by rendezvous, so that they
   * need not agree on it.
   */
  private boolean watches(Member suspected) {
    long own = Hash.mix(self.hash ^ suspected.hash);
    int before = 0;
    for (Member other : members.all()) {
      if (other.state == MemberState.ALIVE
          && other != suspected
          && other != self
          && Hash.mix(other.hash ^ suspected.hash) > own
          && ++before >= Tuning.WATCHERS) {
        return false;
      }
    }
    return true;
  }

  /** Tells a member that it is held for gone, so that it says otherwise if it can. */
  private void appeal(Member member) {
    if (appeals.size() < MOST_APPEALS && appealing.add(member)) {
      appeals.add(member);
    }
  }

  private void wakeAppeals(long nowUs) {
    if (!appeals.isEmpty()) {
      wakeGossip(nowUs);
    }
  }

  // ---- rumours

  private void tell(Member member, long witness, long nowUs) {
    tell(member, witness, nowUs, 0);
  }

  /** Passes on how a member stands; {@code times} is 0 for as often as news deserve. */
  private void tell(Member member, long witness, long nowUs, int times) {
    MemberNews news = WireCodec.news(member, member.state, witness);
    if (witness == 0 && member.witnesses != null) {
      member.witnesses.forEach(w -> memberRumours.drop(new Suspected(member.id, w)));
    }
    memberRumours.add(
        witness == 0 ? member.id : new Suspected(member.id, witness),
        news,
        news.getSerializedSize() + 3,
        times > 0 ? times : Tuning.retransmits(members.others() + 1));
    wakeGossip(nowUs);
  }

  private record Suspected(MemberId id, long witness) {}

  private void spread(FleetRecord record) {
    if (record.payload().length <= Tuning.RUMOUR_BYTES) {
      recordRumours.add(
          record.id(),
          record.id(),
          WireCodec.record(record, 0, true).getSerializedSize() + 3,
          Tuning.retransmits(members.others() + 1));
    }
  }

  private void wakeGossip(long nowUs) {
    if (nextGossipUs == NEVER) {
      nextGossipUs = nowUs + random.nextLong(Math.max(1, periodUs / Tuning.GOSSIPS / 2));
    }
    dueUs = Math.min(dueUs, nextGossipUs);
  }

  private void gossip(long nowUs) {
    for (int i = 0; i < APPEALS_AT_A_TIME && !appeals.isEmpty(); i++) {
      Member member = appeals.poll();
      appealing.remove(member);
      if (members.get(member.id) == member && !left) {
        ping(member, ++seq);
      }
    }
    long waiting = memberRumours.bytes() + recordRumours.bytes();
    if (waiting > 0 && members.others() > 0) {
      int fanout = (int) Math.min(Tuning.MOST_FANOUT, Tuning.FANOUT + waiting / Tuning.DATAGRAM);
      for (Member other : members.some(fanout, null)) {
        send(other.at, datagram());
      }
    }
    nextGossipUs =
        waiting > 0 || !appeals.isEmpty() ? nowUs + spread(periodUs / Tuning.GOSSIPS) : NEVER;
  }

  private Datagram.Builder head() {
    return Datagram.newBuilder()
        .setCluster(cluster)
        .setFrom(WireCodec.news(self, self.state, 0))
        .setDigest(members.digest())
        .setSync(sync());
  }

  private Datagram.Builder datagram() {
    return head();
  }

  /** Sends with as much news as fits. */
  private void send(Endpoint to, Datagram.Builder datagram) {
    int room = Tuning.DATAGRAM - HEAD;
    for (MemberNews each : memberRumours.take(room)) {
      datagram.addMembers(each);
      room -= each.getSerializedSize() + 3;
    }
    long nowUs = lastUs;
    for (FleetRecord.Key key : recordRumours.take(room)) {
      RecordStore.StoredRecord held = records.get(key);
      if (held != null) {
        datagram.addRecords(WireCodec.record(held.record, held.goneMs(nowUs), true));
      }
    }
    if (effects.size() < MOST_EFFECTS) {
      effects.add(
          new Effect.SendDatagram(to, Checksum.attach(datagram.build().toByteArray(), cluster)));
    }
  }

  private long lastUs;

  // ---- what comes

  /** Takes a datagram; what is no good costs a count. */
  public void onDatagram(byte[] bytes, long nowUs) {
    lastUs = nowUs;
    Datagram d = WireCodec.datagram(Checksum.verify(bytes, cluster));
    WireCodec.MemberUpdate from = d == null || !d.hasFrom() ? null : WireCodec.news(d.getFrom());
    if (from == null) {
      count("garbage");
      return;
    }
    if (!d.getCluster().equals(cluster)) {
      count("foreign");
      return;
    }
    if (from.id().equals(self.id) && from.at().equals(self.at)) {
      count("own"); // a seed list may hold this process's own address under another name of it
      return;
    }
    Member sender = heard(from, d.getDigest(), nowUs);
    for (MemberNews each : d.getMembersList()) {
      WireCodec.MemberUpdate news = WireCodec.news(each);
      if (news == null) {
        count("garbage");
      } else {
        take(news, false, nowUs);
      }
    }
    for (RecordNews each : d.getRecordsList()) {
      take(each, nowUs);
    }
    switch (d.getBodyCase()) {
      case PING -> pinged(from, d.getPing());
      case ACK -> answered(d.getAck().getSeq(), nowUs);
      case NACK -> {
        Probe probe = probes.get(d.getNack().getSeq());
        if (probe != null && probe.asker == null) {
          probe.nacks++;
        }
      }
      case REQUEST -> asked(from, d.getRequest(), nowUs);
      default -> {} // news alone
    }
    if (sender != null && sender.state == MemberState.ALIVE) {
      compare(sender, d.getSync(), nowUs);
    }
    agreement.look(members.digest(), nowUs);
  }

  /** The sender speaks for itself: it is there, whatever others say, unless it leaves. */
  private Member heard(WireCodec.MemberUpdate from, long digest, long nowUs) {
    take(from, false, nowUs);
    Member sender = members.get(from.id());
    if (sender != null && sender != self) {
      if (sender.state.isActive()) {
        agreement.heard(nowUs);
      }
      sender.heardUs = nowUs;
      sender.toldDigest = digest;
      sender.toldUs = nowUs;
      if (sender.state == MemberState.DEAD && from.state() == MemberState.ALIVE) {
        appeal(sender);
        wakeAppeals(nowUs);
      }
    }
    return sender;
  }

  private void pinged(WireCodec.MemberUpdate from, Ping ping) {
    if (left) {
      return;
    }
    if (ping.hasTarget() && !WireCodec.id(ping.getTarget()).equals(self.id)) {
      count("ping.other"); // for a former start at this address: it is told who is here now
      send(from.at(), head());
      return;
    }
    send(from.at(), head().setAck(Ack.newBuilder().setSeq(ping.getSeq())));
  }

  private void answered(int number, long nowUs) {
    Probe probe = probes.remove(number);
    if (probe == null) {
      return; // late, or of an appeal: the sender's word for itself is what counts
    }
    if (probe.asker != null) {
      send(probe.asker, head().setAck(Ack.newBuilder().setSeq(probe.askerSeq)));
    } else if (!probe.asWitness) {
      ill(-1);
      probe.target.heardUs = nowUs;
    }
  }

  private void asked(WireCodec.MemberUpdate from, PingRequest request, long nowUs) {
    WireCodec.MemberUpdate target = WireCodec.news(request.getTarget());
    Member member = target == null ? null : members.get(target.id());
    if (member == null || member == self || probes.size() >= MOST_PROBES) {
      count("request.refused");
      return;
    }
    Probe probe =
        new Probe(
            ++seq,
            member,
            nowUs + (long) (Tuning.DIRECT * periodUs),
            nowUs + periodUs,
            false,
            from.at(),
            request.getSeq());
    begin(probe);
    ping(member, probe.seq);
  }

  /**
   * Takes what is told of a member; {@code whole} where it is part of an exchange of all that
   * another holds.
   */
  private void take(WireCodec.MemberUpdate news, boolean whole, long nowUs) {
    if (news.id().name().equals(self.id.name())) {
      if (news.id().equals(self.id)) {
        ofItself(news, nowUs);
        return;
      }
      ofItsName(news, nowUs);
    }
    Member member = members.get(news.id());
    if (member == null) {
      join(news, whole, nowUs);
      return;
    }
    boolean newer = news.incarnation() > member.incarnation;
    boolean same = news.incarnation() == member.incarnation;
    switch (news.state()) {
      case ALIVE -> {
        if (newer) {
          alive(member, news, nowUs);
        } else if (same && member.state == MemberState.DEAD && whole) {
          appeal(member); // another holds it for there
          wakeAppeals(nowUs);
        }
      }
      case SUSPECT -> {
        if (newer || same && member.state.isActive()) {
          suspect(member, news.incarnation(), news.witness(), nowUs);
        }
      }
      case DEAD -> {
        if (same
            && member.state == MemberState.ALIVE
            && (whole || nowUs - member.heardUs < 2 * periodUs)) {
          doubt(member, nowUs); // held for there on this side: it is asked before that is believed
        } else if (newer && member.state != MemberState.LEFT || same && member.state.isActive()) {
          gone(member, news, nowUs);
        }
      }
      case LEFT -> {
        if (newer || same && member.state != MemberState.LEFT) {
          gone(member, news, nowUs);
        }
      }
    }
  }

  /**
   * Another holds for dead what is held for there here: it is dead only if it does not answer this
   * process either.
   */
  private void doubt(Member member, long nowUs) {
    if (probes.size() >= MOST_PROBES) {
      appeal(member);
      wakeAppeals(nowUs);
      return;
    }
    for (Probe probe : probes.values()) {
      if (probe.target == member && probe.doubts) {
        return;
      }
    }
    Probe probe =
        new Probe(++seq, member, NEVER, nowUs + (long) (slowness(2) * periodUs), true, null, 0);
    probe.doubts = true;
    begin(probe);
    send(
        member.at,
        head()
            .setPing(Ping.newBuilder().setSeq(probe.seq).setTarget(WireCodec.who(member.id)))
            .addMembers(WireCodec.news(member, MemberState.DEAD, 0)));
  }

  private void alive(Member member, WireCodec.MemberUpdate news, long nowUs) {
    boolean back = !member.state.isActive();
    members.change(
        member,
        () -> {
          member.state = MemberState.ALIVE;
          member.incarnation = news.incarnation();
          member.at = news.at();
          member.zone = news.zone();
          member.sinceUs = nowUs;
        });
    tell(member, 0, nowUs);
    member.witnesses = null;
    count(back ? "back" : "refuted");
    if (back) {
      say(false, member.id + " at " + member.at + " is there again");
      mayMeetUs = Math.min(mayMeetUs, nowUs); // it may hold what was written on its side
      nextExchangeUs = Math.min(nextExchangeUs, nowUs + random.nextLong(2 * periodUs));
    }
    replace(member, nowUs);
    changed();
  }

  private void gone(Member member, WireCodec.MemberUpdate news, long nowUs) {
    boolean was = member.state.isActive();
    members.change(
        member,
        () -> {
          member.state = news.state();
          member.incarnation = news.incarnation();
          member.sinceUs = nowUs;
        });
    tell(member, 0, nowUs);
    member.witnesses = null;
    if (was) {
      count(news.state() == MemberState.LEFT ? "left" : "told.dead");
      say(
          news.state() == MemberState.DEAD,
          member.id + (news.state() == MemberState.LEFT ? " has left" : " is dead, as others say"));
      changed();
    }
  }

  private void join(WireCodec.MemberUpdate news, boolean whole, long nowUs) {
    if (members.size() >= Tuning.MOST_MEMBERS && !makeRoom()) {
      count("members.full");
      return;
    }
    Member member =
        new Member(news.id(), news.at(), news.zone(), news.state(), news.incarnation(), nowUs);
    if (news.state() == MemberState.SUSPECT) {
      member.witness(news.witness());
      member.suspectedUs = nowUs;
      suspects.add(member);
      suspected(member);
    }
    members.add(member);
    if (news.state().isActive()) {
      count("joined");
      say(
          false,
          member.id
              + " at "
              + member.at
              + (member.zone.isEmpty() ? "" : " in " + member.zone)
              + " has joined");
      tell(
          member,
          news.state() == MemberState.SUSPECT ? news.witness() : 0,
          nowUs,
          whole ? OLD_NEWS : 0);
      replace(member, nowUs);
      changed();
    }
  }

  /** Those that have gone give way to those that come. */
  private boolean makeRoom() {
    Member oldest = null;
    for (Member gone : members.goneOnes()) {
      oldest = oldest == null || gone.sinceUs < oldest.sinceUs ? gone : oldest;
    }
    if (oldest != null) {
      members.remove(oldest);
    }
    return oldest != null;
  }

  /** Earlier starts at this member's address have ended: two processes can't have it. */
  private void replace(Member fresh, long nowUs) {
    for (Member other : List.copyOf(members.named(fresh.id.name()))) {
      if (other != self
          && other.id.epoch() < fresh.id.epoch()
          && other.state.isActive()
          && other.at.equals(fresh.at)) {
        members.change(
            other,
            () -> {
              other.state = MemberState.DEAD;
              other.sinceUs = nowUs;
            });
        memberRumours.drop(other.id);
        count("replaced");
      }
    }
  }

  /** What others hold of this process itself. */
  private void ofItself(WireCodec.MemberUpdate news, long nowUs) {
    if (!news.at().equals(self.at)
        && news.state().isActive()
        && news.incarnation() >= self.incarnation) {
      count("twin.epoch"); // another with the very same epoch: one of the two moves on
      become(self.id.epoch() + 1 + random.nextInt(1_000), nowUs);
      return;
    }
    if (news.state() == MemberState.ALIVE
        ? news.incarnation() <= self.incarnation
        : news.incarnation() < self.incarnation) {
      return;
    }
    if (left) {
      return;
    }
    if (news.state() == MemberState.SUSPECT || news.state() == MemberState.DEAD) {
      ill(1);
      count("refutes");
    }
    members.change(self, () -> self.incarnation = news.incarnation() + 1);
    tell(self, 0, nowUs);
  }

  /** Another start under this process's name. */
  private void ofItsName(WireCodec.MemberUpdate news, long nowUs) {
    if (news.at().equals(self.at)) {
      if (news.id().epoch() > self.id.epoch()) {
        count("epoch.behind"); // its clock was set back since its former start: it is the newer one
        // all the same
        become(news.id().epoch() + 1, nowUs);
      }
      return;
    }
    Member known = members.get(news.id());
    if (news.state().isActive()
        && (known == null || known.state.isActive())
        && twins.size() < 64
        && twins.add(news.id())) {
      count("twins");
      say(
          true,
          "another process is named "
              + news.id().name()
              + ", at "
              + news.at()
              + " (epoch "
              + news.id().epoch()
              + "; this one has "
              + self.id.epoch()
              + "): both are kept apart");
    }
  }

  /** Takes a later epoch: what was said under the former one is of a start that has ended. */
  private void become(long epoch, long nowUs) {
    Member former = self;
    List<Member> others = members.all().stream().filter(m -> m != former).toList();
    self =
        new Member(
            new MemberId(former.id.name(), epoch),
            former.at,
            former.zone,
            MemberState.ALIVE,
            1,
            nowUs);
    members = new MemberList(self.id, random);
    members.add(self);
    others.forEach(members::add);
    memberRumours.drop(former.id);
    tell(self, 0, nowUs);
    for (RecordStore.StoredRecord held : List.copyOf(records.all())) {
      FleetRecord r = held.record;
      if (r.owner().equals(self.id.name()) && r.epoch() == former.id.epoch()) {
        publish(r.kind(), r.key(), r.payload(), r.ttlMs(), nowUs);
      }
    }
    say(false, "this is " + self.id + " now");
    changed();
  }

  private void take(RecordNews news, long nowUs) {
    WireCodec.RecordUpdate told = WireCodec.record(news);
    if (told == null) {
      count("garbage");
      return;
    }
    FleetRecord record = told.record();
    if (record.owner().equals(self.id.name()) && record.epoch() == self.id.epoch()) {
      RecordStore.StoredRecord own = records.get(record.id());
      if (own == null || record.newerThan(own.record)) {
        count(
            "record.false"); // nobody else writes under this start: it is written anew, above what
        // is told
        versions.merge(record.kind() + "\0" + record.key(), record.version(), Math::max);
        if (own != null && record.version() < Long.MAX_VALUE / 4) {
          publish(record.kind(), record.key(), own.record.payload(), own.record.ttlMs(), nowUs);
        }
      }
      return;
    }
    if (records.take(record, told.goneMs(), nowUs)) {
      count("record.taken");
      spread(record);
      wakeGossip(nowUs);
      effects.add(new Effect.RecordChanged(record));
    }
  }

  // ---- exchanges

  private long sync() {
    return Hash.mix(members.sync() ^ Hash.mix(records.sync()));
  }

  /** Another holds something else: rumours get a while to mend it, then all is compared. */
  private void compare(Member with, long sync, long nowUs) {
    if (sync == sync()) {
      differsSinceUs = NEVER;
      return;
    }
    if (differsSinceUs == NEVER) {
      differsSinceUs = nowUs;
    }
    if (nowUs - differsSinceUs > 2 * periodUs
        && memberRumours.isEmpty() | nowUs - differsSinceUs > 3 * periodUs) {
      meet(with.at, "differs", nowUs);
    }
  }

  private void meet(Endpoint with, String why, long nowUs) {
    if (nowUs >= mayMeetUs && !left) {
      mayMeetUs = nowUs + spread(periodUs);
      differsSinceUs = NEVER;
      effects.add(new Effect.StartSync(with, why));
    }
  }

  private void meetSomebody(long nowUs) {
    boolean alone = members.others() == 0;
    if (alone && !seeds.isEmpty()) {
      meet(seeds.get((int) (round % seeds.size())), "seed", nowUs);
    } else if (round % Tuning.EXCHANGE_EVERY == 0 && !seeds.isEmpty()) {
      Endpoint seed = seeds.get(random.nextInt(seeds.size())); // a fleet that grew from two ends
      if (members.all().stream().noneMatch(m -> m.state.isActive() && m.at.equals(seed))) {
        meet(seed, "seed", nowUs);
      }
    }
    if (nowUs >= nextExchangeUs && !alone) {
      nextExchangeUs = nowUs + spread(periodUs * Tuning.EXCHANGE_EVERY);
      members.some(1, null).forEach(other -> meet(other.at, "turn", nowUs));
    }
  }

  /** One exchange with another, over a connection: frames in turn, from the one that opened it. */
  public final class SyncSession implements ExchangeSession {
    private final boolean opener;
    private int step;

    private SyncSession(boolean opener) {
      this.opener = opener;
    }

    /** The next frame, given the other's last one (null at the start); null where it is over. */
    @Override
    public byte[] next(byte[] received, long nowUs) {
      lastUs = nowUs;
      Exchange in =
          received == null ? null : WireCodec.exchange(Checksum.verify(received, cluster));
      if (received != null && !usable(in, nowUs)) {
        return null;
      }
      step++;
      if (opener) {
        return switch (step) {
          case 1 -> frame(greeting());
          case 2 ->
              in.getSame()
                  ? null
                  : frame(all(greeting()).addAllRecords(lacked(in)).addAllWanted(wanted(in)));
          default -> null;
        };
      }
      return switch (step) {
        case 1 -> frame(in.getSync() == sync() ? greeting().setSame(true) : all(heads(greeting())));
        case 2 -> frame(greeting().addAllRecords(of(in.getWantedList())));
        default -> null;
      };
    }

    private boolean usable(Exchange in, long nowUs) {
      WireCodec.MemberUpdate from =
          in == null || !in.hasFrom() ? null : WireCodec.news(in.getFrom());
      if (from == null || !in.getCluster().equals(cluster)) {
        count(from == null ? "garbage" : "foreign");
        return false;
      }
      if (from.id().equals(self.id) && from.at().equals(self.at)) {
        count("own");
        return false;
      }
      take(from, false, nowUs);
      Member sender = members.get(from.id());
      if (sender != null && sender != self) {
        sender.heardUs = nowUs;
        if (sender.state.isActive()) {
          agreement.heard(nowUs);
        }
      }
      for (MemberNews each : in.getMembersList()) {
        WireCodec.MemberUpdate news = WireCodec.news(each);
        if (news == null) {
          count("garbage");
        } else {
          take(news, true, nowUs);
        }
      }
      in.getRecordsList().forEach(each -> take(each, nowUs));
      agreement.look(members.digest(), nowUs);
      return true;
    }
  }

  /** A push/pull synchronization that this process opens. */
  public ExchangeSession openSync() {
    return new SyncSession(true);
  }

  /** A push/pull synchronization that another member has opened. */
  public ExchangeSession acceptSync() {
    return new SyncSession(false);
  }

  private Exchange.Builder greeting() {
    return Exchange.newBuilder()
        .setCluster(cluster)
        .setFrom(WireCodec.news(self, self.state, 0))
        .setSync(sync());
  }

  private Exchange.Builder all(Exchange.Builder frame) {
    for (Member member : members.all()) {
      if (member != self) {
        long witness = member.state == MemberState.SUSPECT ? member.witnesses.iterator().next() : 0;
        frame.addMembers(WireCodec.news(member, member.state, witness));
      }
    }
    return frame;
  }

  private Exchange.Builder heads(Exchange.Builder frame) {
    for (RecordStore.StoredRecord held : records.all()) {
      frame.addHeads(WireCodec.record(held.record, held.goneMs(lastUs), false));
    }
    return frame;
  }

  /** The records that the other, by its heads, lacks. */
  private List<RecordNews> lacked(Exchange in) {
    Map<FleetRecord.Key, FleetRecord> theirs = new HashMap<>();
    in.getHeadsList()
        .forEach(
            head -> {
              WireCodec.RecordUpdate told = WireCodec.record(head);
              if (told != null) {
                theirs.put(told.record().id(), told.record());
              }
            });
    List<RecordNews> lacked = new ArrayList<>();
    for (RecordStore.StoredRecord held : records.all()) {
      if (held.record.newerThan(theirs.get(held.record.id()))) {
        lacked.add(WireCodec.record(held.record, held.goneMs(lastUs), true));
      }
    }
    return lacked;
  }

  private List<RecordNews> wanted(Exchange in) {
    List<RecordNews> wanted = new ArrayList<>();
    for (RecordNews head : in.getHeadsList()) {
      WireCodec.RecordUpdate told = WireCodec.record(head);
      if (told != null) {
        RecordStore.StoredRecord held = records.get(told.record().id());
        if (held == null || told.record().newerThan(held.record)) {
          wanted.add(head);
        }
      }
    }
    return wanted;
  }

  private List<RecordNews> of(List<RecordNews> wanted) {
    List<RecordNews> found = new ArrayList<>();
    for (RecordNews each : wanted) {
      WireCodec.RecordUpdate told = WireCodec.record(each);
      RecordStore.StoredRecord held = told == null ? null : records.get(told.record().id());
      if (held != null) {
        found.add(WireCodec.record(held.record, held.goneMs(lastUs), true));
      }
    }
    return found;
  }

  private byte[] frame(Exchange.Builder frame) {
    return Checksum.attach(frame.build().toByteArray(), cluster);
  }

  // ---- what comes of it

  private void changed() {
    effects.add(new Effect.ViewChanged());
  }

  private void count(String what) {
    effects.add(new Effect.IncrementCounter(what));
  }

  private void say(boolean warning, String line) {
    effects.add(new Effect.WriteLog(warning, line));
  }
}
