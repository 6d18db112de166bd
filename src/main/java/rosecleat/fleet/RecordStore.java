package rosecleat.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The records of all owners. Which one holds is decided by epoch and version alone, so that any
 * order of delivery ends the same. The time since an owner has gone travels with its records: they
 * age out everywhere at about the same time.
 */
final class RecordStore {
  /** All together (count and bytes), and of one owner. */
  static final int MOST = 65_536;

  static final long MOST_BYTES = 32L << 20;
  static final int MOST_OF_ONE = 1_024;

  /** A record as held; {@code goneUs} is when its owner went, by this process's clock, or none. */
  static final class StoredRecord {
    FleetRecord record;
    long goneUs = Long.MAX_VALUE;

    private StoredRecord(FleetRecord record) {
      this.record = record;
    }

    long goneMs(long nowUs) {
      return goneUs == Long.MAX_VALUE ? 0 : Math.max(1, (nowUs - goneUs) / 1000);
    }
  }

  private final Map<FleetRecord.Key, StoredRecord> all = new HashMap<>();
  private final Map<String, Integer> counts = new HashMap<>();
  private long bytes;
  private long sync;

  /** Takes a record; true where it is news. One without room, or too large, is none. */
  boolean take(FleetRecord record, long goneMs, long nowUs) {
    StoredRecord held = all.get(record.id());
    if (held != null && !record.newerThan(held.record)) {
      if (record.epoch() == held.record.epoch()
          && record.version() == held.record.version()
          && goneMs > held.goneMs(nowUs)
          && held.goneUs != Long.MAX_VALUE) {
        held.goneUs = nowUs - goneMs * 1000; // another knows it for gone longer
      }
      return false;
    }
    int size = record.payload().length;
    if (size > Tuning.RECORD_BYTES
        || record.ttlMs() < goneMs
        || held == null
            && (all.size() >= MOST || counts.getOrDefault(record.owner(), 0) >= MOST_OF_ONE)
        || bytes + size > MOST_BYTES) {
      return false;
    }
    if (held == null) {
      held = new StoredRecord(record);
      all.put(record.id(), held);
      counts.merge(record.owner(), 1, Integer::sum);
    } else {
      count(held.record, -1);
      held.record = record;
      held.goneUs = Long.MAX_VALUE;
    }
    if (goneMs > 0) {
      held.goneUs = nowUs - goneMs * 1000;
    }
    count(record, 1);
    return true;
  }

  private void count(FleetRecord record, int sign) {
    bytes += (long) sign * record.payload().length;
    sync ^= Hash.mix(record.id().hashCode() + 31 * record.epoch() + 7919 * record.version());
  }

  StoredRecord get(FleetRecord.Key key) {
    return all.get(key);
  }

  Collection<StoredRecord> all() {
    return all.values();
  }

  /** The digest of all versions held. */
  long sync() {
    return sync;
  }

  /**
   * Notes which owners have gone or are back, and drops what has aged out; returns what was
   * dropped.
   */
  List<FleetRecord> age(java.util.function.Predicate<FleetRecord> ownerIsHere, long nowUs) {
    List<FleetRecord> dropped = new ArrayList<>();
    for (java.util.Iterator<StoredRecord> each = all.values().iterator(); each.hasNext(); ) {
      StoredRecord held = each.next();
      if (ownerIsHere.test(held.record)) {
        held.goneUs = Long.MAX_VALUE;
      } else if (held.goneUs == Long.MAX_VALUE) {
        held.goneUs = nowUs;
      } else if (held.goneMs(nowUs) > held.record.ttlMs()) {
        count(held.record, -1);
        counts.merge(held.record.owner(), -1, Integer::sum);
        each.remove();
        FleetRecord r = held.record;
        dropped.add(
            new FleetRecord(r.owner(), r.epoch(), r.kind(), r.key(), r.version(), r.ttlMs(), null));
      }
    }
    counts.values().removeIf(n -> n <= 0);
    return dropped;
  }
}
