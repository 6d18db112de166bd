package rosecleat.fleet;

/**
 * A small value that one process owns and all may read; the one with the greater epoch, then
 * version, replaces the other.
 *
 * @param owner the name of the process that wrote it
 * @param epoch of the start that wrote it
 * @param ttlMs how long it is kept after its owner's start has gone
 * @param payload null where it has expired
 */
public record FleetRecord(
    String owner, long epoch, String kind, String key, long version, long ttlMs, byte[] payload) {
  /** The identity of a record over all its versions. */
  record Key(String owner, String kind, String key) {}

  Key id() {
    return new Key(owner, kind, key);
  }

  boolean newerThan(FleetRecord other) {
    return other == null
        || epoch > other.epoch
        || (epoch == other.epoch && version > other.version);
  }

  /** This record as it is reported once it has expired. */
  FleetRecord withoutPayload() {
    return new FleetRecord(owner, epoch, kind, key, version, ttlMs, null);
  }
}
