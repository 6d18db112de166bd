package rosecleat.fleet;

/**
 * A 64-bit hash that is equal in every process: FNV-1a with SplitMix64's finalizer. It is not
 * resistant to deliberately constructed collisions.
 */
final class Hash {
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hash() {}

  /** Returns the hash of bytes under a seed. */
  static long of(byte[] bytes, long seed) {
    long hash = FNV_OFFSET_BASIS ^ mix(seed);
    for (byte each : bytes) {
      hash = (hash ^ (each & 0xff)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Applies SplitMix64's finalizer: each bit of the result depends on all bits of the value. */
  static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
