package rosecleat.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rosecleat.fleet.wire.RecordUpdateMessage;

/** Writes this process's records, and merges received records of other processes. */
final class RecordReplicator {
  /**
   * Forged versions from this value on are not overridden with a greater one, since the version
   * could overflow.
   */
  private static final long MAX_OUTBID_VERSION = Long.MAX_VALUE / 4;

  private final ProtocolContext context;
  private final Dissemination dissemination;

  /** The greatest known version of each record of this process, whether written or forged. */
  private final Map<FleetRecord.Key, Long> ownVersions = new HashMap<>();

  RecordReplicator(ProtocolContext context, Dissemination dissemination) {
    this.context = context;
    this.dissemination = dissemination;
  }

  /** Writes a record of this process; returns false if it exceeds a limit. */
  boolean publish(String kind, String key, byte[] payload, long ttlMs, long nowUs) {
    MemberId self = context.self().id;
    FleetRecord.Key id = new FleetRecord.Key(self.name(), kind, key);
    long version = Math.max(ownVersions.getOrDefault(id, 0L), storedVersion(id)) + 1;
    FleetRecord record =
        new FleetRecord(self.name(), self.epoch(), kind, key, version, ttlMs, payload);
    if (!context.records().store(record, 0, nowUs)) {
      context.effects().count(MembershipCounter.RECORD_REJECTED);
      return false;
    }
    ownVersions.put(id, version);
    dissemination.broadcast(record);
    dissemination.requestRound(nowUs);
    return true;
  }

  /** Returns the version of a record that this start wrote, or 0 if there is none. */
  private long storedVersion(FleetRecord.Key id) {
    return context
        .records()
        .find(id)
        .filter(stored -> stored.record().epoch() == context.self().id.epoch())
        .map(stored -> stored.record().version())
        .orElse(0L);
  }

  /** Rewrites all records of a former epoch of this process under its current epoch. */
  void republish(long formerEpoch, long nowUs) {
    String name = context.self().id.name();
    for (RecordStore.StoredRecord stored : List.copyOf(context.records().all())) {
      FleetRecord record = stored.record();
      if (record.owner().equals(name) && record.epoch() == formerEpoch) {
        publish(record.kind(), record.key(), record.payload(), record.ttlMs(), nowUs);
      }
    }
  }

  /** Stores a received record if it is newer than the stored one. */
  void receive(RecordUpdateMessage message, long nowUs) {
    RecordUpdate update = WireCodec.decode(message).orElse(null);
    if (update == null) {
      context.effects().count(MembershipCounter.MALFORMED_MESSAGE);
      return;
    }
    FleetRecord record = update.record();
    MemberId self = context.self().id;
    if (record.owner().equals(self.name()) && record.epoch() == self.epoch()) {
      receiveOwn(record, nowUs);
    } else if (context.records().store(record, update.ownerGoneMs(), nowUs)) {
      context.effects().count(MembershipCounter.RECORD_STORED);
      dissemination.broadcast(record);
      dissemination.requestRound(nowUs);
      context.effects().recordChanged(record);
    }
  }

  /**
   * Handles a record under this start's identity. No other process writes these: a newer version
   * than the stored one is forged, and is overridden with a greater version.
   */
  private void receiveOwn(FleetRecord received, long nowUs) {
    FleetRecord own =
        context.records().find(received.id()).map(RecordStore.StoredRecord::record).orElse(null);
    if (own != null && !received.newerThan(own)) {
      return;
    }
    context.effects().count(MembershipCounter.RECORD_FORGED);
    ownVersions.merge(received.id(), received.version(), Math::max);
    if (own != null && received.version() < MAX_OUTBID_VERSION) {
      publish(received.kind(), received.key(), own.payload(), own.ttlMs(), nowUs);
    }
  }

  /**
   * Removes the records whose owners have been inactive for longer than the record's time to live.
   */
  void expire(long nowUs) {
    for (FleetRecord expired : context.records().expire(this::ownerIsActive, nowUs)) {
      context.effects().recordChanged(expired);
    }
  }

  private boolean ownerIsActive(FleetRecord record) {
    Member owner = context.members().get(new MemberId(record.owner(), record.epoch()));
    return owner != null && owner.state.isActive();
  }

  List<FleetRecord> ofKind(String kind) {
    List<FleetRecord> found = new ArrayList<>();
    for (RecordStore.StoredRecord stored : context.records().all()) {
      if (stored.record().kind().equals(kind)) {
        found.add(stored.record());
      }
    }
    return found;
  }
}
