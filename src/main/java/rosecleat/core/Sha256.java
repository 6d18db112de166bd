package rosecleat.core;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * SHA-256 digests. They are cryptographic, so that a request can't be crafted to match the digest
 * of another one and be given that one's result.
 */
final class Sha256 {
  private Sha256() {}

  /** Returns the digest of the concatenation of the parts. */
  static byte[] digest(byte[]... parts) {
    MessageDigest digest;
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java platform supports SHA-256
    }
    for (byte[] part : parts) {
      digest.update(part);
    }
    return digest.digest();
  }
}
