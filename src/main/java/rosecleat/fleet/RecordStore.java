package rosecleat.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import rosecleat.fleet.wire.RecordUpdateMessage;

/**
 * The records of all owners. Epoch and version alone decide which version is retained, so that the
 * result does not depend on the order of delivery. The time for which an owner has been inactive is
 * sent with its records, so that they expire on all members at about the same time.
 */
final class RecordStore {
  /**
   * Limits on the number and the bytes of all records, and on the number of records of one owner.
   */
  static final int MAX_RECORDS = 65_536;

  static final long MAX_BYTES = 32L << 20;
  static final int MAX_RECORDS_OF_OWNER = 1_024;

  /** A record with the time at which its owner became inactive (dead, left or removed). */
  static final class StoredRecord {
    private static final long OWNER_ACTIVE = Long.MAX_VALUE;

    private FleetRecord record;
    private long ownerGoneUs = OWNER_ACTIVE;

    private StoredRecord(FleetRecord record) {
      this.record = record;
    }

    FleetRecord record() {
      return record;
    }

    /** Returns how long the owner has been inactive (ms), or 0 while it is active. */
    long ownerGoneMs(long nowUs) {
      return ownerGoneUs == OWNER_ACTIVE ? 0 : Math.max(1, (nowUs - ownerGoneUs) / 1000);
    }

    /** Encodes the record as a message, with or without its payload. */
    RecordUpdateMessage encode(long nowUs, boolean withPayload) {
      return WireCodec.encode(record, ownerGoneMs(nowUs), withPayload);
    }

    private boolean isOwnerActive() {
      return ownerGoneUs == OWNER_ACTIVE;
    }
  }

  private final Map<FleetRecord.Key, StoredRecord> byKey = new HashMap<>();
  private final Map<String, Integer> countByOwner = new HashMap<>();
  private long bytes;
  private long syncDigest;

  /** Stores a record; returns false if it is not newer than the stored one, or exceeds a limit. */
  boolean store(FleetRecord record, long ownerGoneMs, long nowUs) {
    StoredRecord stored = byKey.get(record.id());
    if (stored != null && !record.newerThan(stored.record)) {
      mergeOwnerGone(stored, record, ownerGoneMs, nowUs);
      return false;
    }
    if (exceedsLimits(record, stored == null, ownerGoneMs)) {
      return false;
    }
    if (stored == null) {
      stored = new StoredRecord(record);
      byKey.put(record.id(), stored);
      countByOwner.merge(record.owner(), 1, Integer::sum);
    } else {
      account(stored.record, -1);
      stored.record = record;
      stored.ownerGoneUs = StoredRecord.OWNER_ACTIVE;
    }
    if (ownerGoneMs > 0) {
      stored.ownerGoneUs = nowUs - ownerGoneMs * 1000;
    }
    account(record, 1);
    return true;
  }

  /**
   * Adopts the earlier start of the owner's inactivity that another member reports for the same
   * version, if the owner is inactive in this view too.
   */
  private static void mergeOwnerGone(
      StoredRecord stored, FleetRecord record, long ownerGoneMs, long nowUs) {
    if (record.epoch() == stored.record.epoch()
        && record.version() == stored.record.version()
        && ownerGoneMs > stored.ownerGoneMs(nowUs)
        && !stored.isOwnerActive()) {
      stored.ownerGoneUs = nowUs - ownerGoneMs * 1000;
    }
  }

  private boolean exceedsLimits(FleetRecord record, boolean isNew, long ownerGoneMs) {
    int size = record.payload().length;
    boolean tooMany =
        isNew
            && (byKey.size() >= MAX_RECORDS
                || countByOwner.getOrDefault(record.owner(), 0) >= MAX_RECORDS_OF_OWNER);
    return size > Tuning.MAX_RECORD_BYTES
        || record.ttlMs() < ownerGoneMs
        || tooMany
        || bytes + size > MAX_BYTES;
  }

  /** Adds a record to the byte count and the digest (sign 1), or removes it from them (-1). */
  private void account(FleetRecord record, int sign) {
    bytes += (long) sign * record.payload().length;
    syncDigest ^= Hash.mix(record.id().hashCode() + 31 * record.epoch() + 7919 * record.version());
  }

  Optional<StoredRecord> find(FleetRecord.Key key) {
    return Optional.ofNullable(byKey.get(key));
  }

  Collection<StoredRecord> all() {
    return byKey.values();
  }

  /** Returns the digest of all keys with their versions. */
  long syncDigest() {
    return syncDigest;
  }

  /** Updates which owners are inactive; removes and returns the expired records. */
  List<FleetRecord> expire(Predicate<FleetRecord> ownerIsActive, long nowUs) {
    List<FleetRecord> expired = new ArrayList<>();
    for (Iterator<StoredRecord> each = byKey.values().iterator(); each.hasNext(); ) {
      StoredRecord stored = each.next();
      if (ownerIsActive.test(stored.record)) {
        stored.ownerGoneUs = StoredRecord.OWNER_ACTIVE;
      } else if (stored.isOwnerActive()) {
        stored.ownerGoneUs = nowUs;
      } else if (stored.ownerGoneMs(nowUs) > stored.record.ttlMs()) {
        account(stored.record, -1);
        countByOwner.merge(stored.record.owner(), -1, Integer::sum);
        each.remove();
        expired.add(stored.record.withoutPayload());
      }
    }
    countByOwner.values().removeIf(count -> count <= 0);
    return expired;
  }
}
