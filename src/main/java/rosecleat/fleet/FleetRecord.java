package rosecleat.fleet;

/**
 * A small value that is written by the process that owns it and replicated to all members. Of two
 * versions, the one with the greater epoch, then the greater version number, replaces the other.
 *
 * @param owner the name of the process that wrote the record
 * @param epoch the epoch of the start that wrote the record
 * @param ttlMs how long the record is retained after its owner's start has died or left
 * @param payload the value; null once the record has expired
 */
public record FleetRecord(
    String owner, long epoch, String kind, String key, long version, long ttlMs, byte[] payload) {
  /** The identity that all versions of a record share. */
  record Key(String owner, String kind, String key) {}

  Key id() {
    return new Key(owner, kind, key);
  }

  boolean newerThan(FleetRecord other) {
    return other == null
        || epoch > other.epoch
        || (epoch == other.epoch && version > other.version);
  }

  /** Returns this record without its payload, which is the form in which its expiry is reported. */
  FleetRecord withoutPayload() {
    return new FleetRecord(owner, epoch, kind, key, version, ttlMs, null);
  }
}
