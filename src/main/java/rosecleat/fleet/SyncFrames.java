package rosecleat.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rosecleat.fleet.wire.RecordUpdateMessage;
import rosecleat.fleet.wire.SyncFrame;

/**
 * Builds the frames of a push/pull synchronization from this member's state. The head of a record
 * is the record without its payload.
 */
final class SyncFrames {
  private final ProtocolContext context;

  SyncFrames(ProtocolContext context) {
    this.context = context;
  }

  /** Returns a frame with the sender's identity and the digest of its replicated state. */
  SyncFrame.Builder header() {
    Member self = context.self();
    return SyncFrame.newBuilder()
        .setCluster(context.cluster())
        .setFrom(WireCodec.encode(self, self.state, 0))
        .setSyncDigest(context.syncDigest());
  }

  /** Returns a header with all other members, including the dead ones and those that left. */
  SyncFrame.Builder allMembers() {
    SyncFrame.Builder frame = header();
    for (Member member : context.members().all()) {
      if (member != context.self()) {
        boolean suspected = member.state == MemberState.SUSPECT;
        long witness = suspected ? member.witnesses.iterator().next() : 0;
        frame.addMembers(WireCodec.encode(member, member.state, witness));
      }
    }
    return frame;
  }

  /** Returns all other members and the heads of all records. */
  SyncFrame.Builder allMembersAndRecordHeads() {
    SyncFrame.Builder frame = allMembers();
    for (RecordStore.StoredRecord stored : context.records().all()) {
      frame.addHeads(stored.encode(context.eventTimeUs(), false));
    }
    return frame;
  }

  /** Returns the records that are missing or older at the peer, according to the peer's heads. */
  List<RecordUpdateMessage> recordsMissingAtPeer(List<RecordUpdateMessage> theirHeads) {
    Map<FleetRecord.Key, FleetRecord> theirs = new HashMap<>();
    for (RecordUpdateMessage head : theirHeads) {
      WireCodec.decode(head).ifPresent(update -> theirs.put(update.record().id(), update.record()));
    }
    List<RecordUpdateMessage> missing = new ArrayList<>();
    for (RecordStore.StoredRecord stored : context.records().all()) {
      if (stored.record().newerThan(theirs.get(stored.record().id()))) {
        missing.add(stored.encode(context.eventTimeUs(), true));
      }
    }
    return missing;
  }

  /** Returns the peer's heads of records that are missing or older here. */
  List<RecordUpdateMessage> headsMissingLocally(List<RecordUpdateMessage> theirHeads) {
    return theirHeads.stream().filter(this::isMissingLocally).toList();
  }

  private boolean isMissingLocally(RecordUpdateMessage head) {
    FleetRecord theirs = WireCodec.decode(head).map(RecordUpdate::record).orElse(null);
    if (theirs == null) {
      return false;
    }
    return context
        .records()
        .find(theirs.id())
        .map(stored -> theirs.newerThan(stored.record()))
        .orElse(true);
  }

  /** Returns the records, with payloads, whose heads the peer requested. */
  List<RecordUpdateMessage> requestedRecords(List<RecordUpdateMessage> heads) {
    List<RecordUpdateMessage> found = new ArrayList<>();
    for (RecordUpdateMessage head : heads) {
      WireCodec.decode(head)
          .flatMap(update -> context.records().find(update.record().id()))
          .ifPresent(stored -> found.add(stored.encode(context.eventTimeUs(), true)));
    }
    return found;
  }
}
