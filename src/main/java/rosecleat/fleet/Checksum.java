package rosecleat.fleet;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A message as it travels: its hash under the cluster's name goes first. Guards against what was
 * spoilt on the way and what is of another kind or cluster; it is no signature.
 */
public final class Checksum {
  /** Bytes that it takes. */
  public static final int BYTES = 8;

  private Checksum() {}

  /** Seals a message. */
  public static byte[] attach(byte[] message, String cluster) {
    return ByteBuffer.allocate(BYTES + message.length)
        .putLong(hash(message, cluster))
        .put(message)
        .array();
  }

  /** What was sealed; null where it is nothing of the kind. */
  public static byte[] verify(byte[] sealed, String cluster) {
    if (sealed.length <= BYTES) {
      return null;
    }
    byte[] message = Arrays.copyOfRange(sealed, BYTES, sealed.length);
    return ByteBuffer.wrap(sealed).getLong() == hash(message, cluster) ? message : null;
  }

  private static long hash(byte[] message, String cluster) {
    return Hash.of(message, Hash.of(cluster.getBytes(StandardCharsets.UTF_8), message.length));
  }
}
