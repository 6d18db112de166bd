package rosecleat.fleet;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The state that all components of one member's protocol share: settings, random source, effects,
 * and the replicated state, which is this member itself, the member list and the records.
 */
final class ProtocolContext {
  /** The time of a timer that is not set. */
  static final long NEVER = Long.MAX_VALUE;

  private final Tuning tuning;
  private final RandomGenerator random;
  private final String cluster;
  private final EffectQueue effects = new EffectQueue();
  private final RecordStore records = new RecordStore();
  private MemberList members;
  private Member self;
  private boolean leaving;
  private long eventTimeUs;

  ProtocolContext(LocalNode local, Tuning tuning, RandomGenerator random, long nowUs) {
    this.tuning = tuning;
    this.random = random;
    cluster = local.cluster();
    self = new Member(local.id(), local.endpoint(), local.zone(), MemberState.ALIVE, 1, nowUs);
    members = new MemberList(self.id, random);
    members.add(self);
  }

  long periodUs() {
    return tuning.periodUs();
  }

  Tuning tuning() {
    return tuning;
  }

  RandomGenerator random() {
    return random;
  }

  String cluster() {
    return cluster;
  }

  EffectQueue effects() {
    return effects;
  }

  RecordStore records() {
    return records;
  }

  MemberList members() {
    return members;
  }

  Member self() {
    return self;
  }

  /** Returns whether this process has announced that it leaves. */
  boolean isLeaving() {
    return leaving;
  }

  void setLeaving() {
    leaving = true;
  }

  /** Returns the arrival time of the event in progress: a timer, a datagram or a frame. */
  long eventTimeUs() {
    return eventTimeUs;
  }

  void setEventTimeUs(long nowUs) {
    eventTimeUs = nowUs;
  }

  /**
   * Returns a duration that is randomly up to a sixteenth shorter or longer, so that members do not
   * run in step.
   */
  long jitter(long durationUs) {
    return durationUs - durationUs / 16 + random.nextLong(Math.max(1, durationUs / 8));
  }

  /** Returns the digest of all replicated state; members with equal state have equal digests. */
  long syncDigest() {
    return Hash.mix(members.syncDigest() ^ Hash.mix(records.syncDigest()));
  }

  /** Continues as a new start with another epoch, and rebuilds the member list around it. */
  void changeEpoch(long epoch, long nowUs) {
    Member former = self;
    List<Member> others = members.all().stream().filter(member -> member != former).toList();
    MemberId id = new MemberId(former.id.name(), epoch);
    self = new Member(id, former.endpoint, former.zone, MemberState.ALIVE, 1, nowUs);
    members = new MemberList(self.id, random);
    members.add(self);
    others.forEach(members::add);
  }
}
