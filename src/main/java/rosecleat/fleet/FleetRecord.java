package rosecleat.fleet;

/**
 * A small thing that one process owns and all may read; the one with the greater epoch, then
 * version, holds.
 *
 * @param owner the name of the process that wrote it
 * @param epoch of the start that wrote it
 * @param ttlMs it is kept so long after its owner's start has gone
 * @param payload null where it has aged out
 */
public record FleetRecord(
    String owner, long epoch, String kind, String key, long version, long ttlMs, byte[] payload) {
  /** What it goes by. */
  record Key(String owner, String kind, String key) {}

  Key id() {
    return new Key(owner, kind, key);
  }

  boolean newerThan(FleetRecord other) {
    return other == null || epoch > other.epoch || epoch == other.epoch && version > other.version;
  }
}
