package rosecleat.routes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The first 64 bits of SHA-256, so that tables that differ are not taken for equal by accident. */
final class ContentDigest {
  private static final ThreadLocal<MessageDigest> SHA_256 =
      ThreadLocal.withInitial(ContentDigest::newSha256);

  private ContentDigest() {}

  private static MessageDigest newSha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // each Java platform has it
    }
  }

  /** The digest of a text in UTF-8. */
  static long of(String text) {
    byte[] sum = SHA_256.get().digest(text.getBytes(StandardCharsets.UTF_8));
    return ByteBuffer.wrap(sum).getLong();
  }
}
