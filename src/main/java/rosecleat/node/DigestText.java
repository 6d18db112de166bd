package rosecleat.node;

/** The text form of a 64-bit digest. */
final class DigestText {
  private DigestText() {}

  /** Returns a digest as 16 hexadecimal digits. */
  static String hex(long digest) {
    return String.format("%016x", digest);
  }
}
