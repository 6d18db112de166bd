package rosecleat.fleet;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A checksum, keyed by the cluster's name, that precedes each message. Detects corruption and
 * messages of other kinds or clusters; it does not authenticate the sender.
 */
public final class Checksum {
  /** The length of a checksum in bytes. */
  public static final int BYTES = 8;

  private Checksum() {}

  /** Returns the message preceded by its checksum. */
  public static byte[] attach(byte[] message, String cluster) {
    return ByteBuffer.allocate(BYTES + message.length)
        .putLong(of(message, cluster))
        .put(message)
        .array();
  }

  /** Returns the message without its checksum, or null if the checksum does not match. */
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
