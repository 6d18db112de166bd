package rosecleat.node;

/** The text of a digest of 64 bits. */
final class DigestText {
  private DigestText() {}

  /** Returns a digest as 16 hexadecimal digits. */
  static String hex(long digest) {
    return String.format("%016x", digest);
  }
}
