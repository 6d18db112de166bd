package rosecleat.routes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Computes the first 64 bits of SHA-256, so that digests of different tables are very unlikely to
 * collide.
 */
final class ContentDigest {
  private static final ThreadLocal<MessageDigest> SHA_256 =
      ThreadLocal.withInitial(ContentDigest::newSha256);

  private ContentDigest() {}

  private static MessageDigest newSha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java platform provides SHA-256
    }
  }

  /** Returns the digest of a text encoded in UTF-8. */
  static long of(String text) {
    byte[] sum = SHA_256.get().digest(text.getBytes(StandardCharsets.UTF_8));
    return ByteBuffer.wrap(sum).getLong();
  }
}
