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
 * The records of all owners. Which version stays is decided by epoch and version alone, so that any
 * order of delivery ends the same. The time since an owner has gone travels with its records: they
 * expire everywhere at about the same time.
 */
final class RecordStore {
  /** Limits on the number and the bytes of all records, and on the number of one owner's. */
  static final int MAX_RECORDS = 65_536;

  static final long MAX_BYTES = 32L << 20;
  static final int MAX_RECORDS_OF_OWNER = 1_024;

  /** A record with the time at which its owner went. */
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

    /** How long the owner has been gone (ms); 0 while it is there. */
    long ownerGoneMs(long nowUs) {
      return ownerGoneUs == OWNER_ACTIVE ? 0 : Math.max(1, (nowUs - ownerGoneUs) / 1000);
    }

    /** The record as a message, with or without its payload. */
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

  /** Stores a record; false where it is not newer, or exceeds a limit. */
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

  /** Another member may know for longer that the owner of the same version has gone. */
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

  /** Adds a record to the bytes and the digest (sign 1), or takes it out (-1). */
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

  /** The digest of all keys with their versions. */
  long syncDigest() {
    return syncDigest;
  }

  /** Notes which owners have gone or are back; removes and returns what has expired. */
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
