package rosecleat.fleet;

import rosecleat.fleet.wire.Datagram;
import rosecleat.fleet.wire.MemberUpdateMessage;

/**
 * The updates that this member still has to disseminate, and the time of the next gossip round.
 * Updates are piggybacked on every datagram; gossip rounds send datagrams that carry updates only.
 */
final class Dissemination {
  /** Bytes of a datagram that are reserved for all fields other than updates. */
  private static final int MAX_HEADER_BYTES = 360;

  /** Bytes that a field's tag and length add to an update. */
  private static final int FIELD_OVERHEAD_BYTES = 3;

  /** Transmissions of an update that was received by a sync: most members have it already. */
  static final int SYNCED_TRANSMISSIONS = 2;

  /**
   * The subject of a suspicion: suspicions of one member by different witnesses are queued
   * separately.
   */
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

  /**
   * Queues a member's state for the given number of transmissions. A state without a witness (0)
   * replaces all queued suspicions of the member.
   */
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

  /** Queues a record, unless its size restricts it to syncs. */
  void broadcast(FleetRecord record) {
    if (record.payload().length <= Tuning.MAX_GOSSIP_RECORD_BYTES) {
      int bytes = WireCodec.encode(record, 0, true).getSerializedSize() + FIELD_OVERHEAD_BYTES;
      recordUpdates.add(record.id(), record.id(), bytes, usualTransmissions());
    }
  }

  int usualTransmissions() {
    return Tuning.transmissions(context.members().activePeerCount() + 1);
  }

  /** Removes the queued update of a member's state. */
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

  /**
   * Schedules a gossip round at a random time within half a gossip interval, unless one is
   * scheduled.
   */
  void requestRound(long nowUs) {
    if (nextRoundUs == ProtocolContext.NEVER) {
      long maxDelayUs = context.periodUs() / Tuning.GOSSIP_ROUNDS_PER_PERIOD / 2;
      nextRoundUs = nowUs + context.random().nextLong(Math.max(1, maxDelayUs));
    }
  }

  long nextRoundUs() {
    return nextRoundUs;
  }

  /**
   * Schedules the round after a completed one: after the gossip interval, or not until an update is
   * queued if there is nothing more to send.
   */
  void roundDone(boolean moreToSend, long nowUs) {
    nextRoundUs =
        moreToSend
            ? nowUs + context.jitter(context.periodUs() / Tuning.GOSSIP_ROUNDS_PER_PERIOD)
            : ProtocolContext.NEVER;
  }
}
