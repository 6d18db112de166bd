package rosecleat.fleet;

import rosecleat.fleet.wire.Datagram;
import rosecleat.fleet.wire.MemberUpdateMessage;

/**
 * The updates that this member still has to pass on, and when the next gossip round is due. Updates
 * are piggybacked on every datagram, and a gossip round sends some that carry nothing else.
 */
final class Dissemination {
  /** Bytes of a datagram that its header may take, without updates. */
  private static final int MAX_HEADER_BYTES = 360;

  /** Bytes that a field's tag and length add to an update. */
  private static final int FIELD_OVERHEAD_BYTES = 3;

  /** Transmissions of an update that a sync has brought: most members have it already. */
  static final int SYNCED_TRANSMISSIONS = 2;

  /** Updates on one suspicion by different witnesses are queued apart. */
  private record SuspicionKey(MemberId id, long witness) {}

  private final ProtocolContext context;
  private final DisseminationQueue<MemberUpdateMessage> memberUpdates = new DisseminationQueue<>();
  private final DisseminationQueue<FleetRecord.Key> recordUpdates = new DisseminationQueue<>();
  private long nextRoundUs = ProtocolContext.NEVER;

  Dissemination(ProtocolContext context) {
    this.context = context;
  }

  /** Queues a member's state for the usual number of transmissions. */
  void broadcast(Member member, long nowUs) {
    broadcastSuspicion(member, 0, nowUs);
  }

  /** Queues a member's state for so many transmissions. */
  void broadcast(Member member, long witness, int transmissions, long nowUs) {
    MemberUpdateMessage update = WireCodec.encode(member, member.state, witness);
    if (witness == 0) {
      member.witnesses.forEach(each -> memberUpdates.remove(new SuspicionKey(member.id, each)));
    }
    memberUpdates.add(
        witness == 0 ? member.id : new SuspicionKey(member.id, witness),
        update,
        update.getSerializedSize() + FIELD_OVERHEAD_BYTES,
        transmissions);
    requestRound(nowUs);
  }

  /** Queues a suspicion of a member by a witness (0 for a state without one). */
  void broadcastSuspicion(Member member, long witness, long nowUs) {
    broadcast(member, witness, usualTransmissions(), nowUs);
  }

  /** Queues a record, unless it is so large that it travels by sync alone. */
  void broadcast(FleetRecord record) {
    if (record.payload().length <= Tuning.MAX_GOSSIP_RECORD_BYTES) {
      int bytes = WireCodec.encode(record, 0, true).getSerializedSize() + FIELD_OVERHEAD_BYTES;
      recordUpdates.add(record.id(), record.id(), bytes, usualTransmissions());
    }
  }

  int usualTransmissions() {
    return Tuning.transmissions(context.members().activePeerCount() + 1);
  }

  /** Drops what is queued on a member's state. */
  void discard(MemberId id) {
    memberUpdates.remove(id);
  }

  /** Adds as many queued updates to a datagram as fit. */
  void piggyback(Datagram.Builder datagram) {
    int budget = Tuning.MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES;
    for (MemberUpdateMessage update : memberUpdates.take(budget)) {
      datagram.addMembers(update);
      budget -= update.getSerializedSize() + FIELD_OVERHEAD_BYTES;
    }
    RecordStore records = context.records();
    long nowUs = context.eventTimeUs();
    for (FleetRecord.Key key : recordUpdates.take(budget)) {
      records.find(key).ifPresent(stored -> datagram.addRecords(stored.encode(nowUs, true)));
    }
  }

  boolean hasMemberUpdates() {
    return !memberUpdates.isEmpty();
  }

  long queuedBytes() {
    return memberUpdates.bytes() + recordUpdates.bytes();
  }

  /** Makes sure that a gossip round comes soon, at a random time. */
  void requestRound(long nowUs) {
    if (nextRoundUs == ProtocolContext.NEVER) {
      long maxDelayUs = context.periodUs() / Tuning.GOSSIP_ROUNDS_PER_PERIOD / 2;
      nextRoundUs = nowUs + context.random().nextLong(Math.max(1, maxDelayUs));
    }
  }

  long nextRoundUs() {
    return nextRoundUs;
  }

  /** Sets the timer after a round: again after the interval, or not until something is queued. */
  void roundDone(boolean moreToSend, long nowUs) {
    nextRoundUs =
        moreToSend
            ? nowUs + context.jitter(context.periodUs() / Tuning.GOSSIP_ROUNDS_PER_PERIOD)
            : ProtocolContext.NEVER;
  }
}
