package rosecleat.fleet;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A checksum under the cluster's name, put before each message. Guards against corruption and
 * against messages of another kind or cluster; it is no signature.
 */
public final class Checksum {
  /** The bytes of a checksum. */
  public static final int BYTES = 8;

  private Checksum() {}

  /** A message with its checksum before it. */
  public static byte[] attach(byte[] message, String cluster) {
    return ByteBuffer.allocate(BYTES + message.length)
        .putLong(of(message, cluster))
        .put(message)
        .array();
  }

  /** The message without its checksum; null where that does not match. */
  public static byte[] verify(byte[] bytes, String cluster) {
    if (bytes.length <= BYTES) {
      return null;
    }
    byte[] message = Arrays.copyOfRange(bytes, BYTES, bytes.length);
    return ByteBuffer.wrap(bytes).getLong() == of(message, cluster) ? message : null;
  }

  private static long of(byte[] message, String cluster) {
    return Hash.of(message, Hash.of(cluster.getBytes(StandardCharsets.UTF_8), message.length));
  }
}
