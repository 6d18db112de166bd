package rosecleat.net;

/**
 * The bounds of a connection.
 *
 * @param readBufferBytes the most bytes handed to the handler at once
 * @param pauseReadAboveBytes reading pauses while more bytes than this wait to be written
 * @param maxQueuedBytes the most bytes that may wait to be written; a write beyond them closes the
 *     connection
 * @param writeTimeoutUs how long a peer may take no byte while some wait for it, in microseconds
 */
public record ConnectionLimits(
    int readBufferBytes, int pauseReadAboveBytes, int maxQueuedBytes, long writeTimeoutUs) {
  /** Bounds for small messages. */
  public static final ConnectionLimits SMALL =
      new ConnectionLimits(8 << 10, 64 << 10, 1 << 20, 5_000_000);
}
