package rosecleat.fleet;

/**
 * A 64-bit hash that is the same in every process: FNV-1a, finished as in SplitMix64. No guard
 * against chosen collisions.
 */
final class Hash {
  private Hash() {}

  static long of(byte[] bytes, long seed) {
    long hash = 0xcbf29ce484222325L ^ mix(seed);
    for (byte b : bytes) {
      hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
    }
    return mix(hash);
  }

  static long mix(long z) {
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
