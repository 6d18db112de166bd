package rosecleat.net;

/**
 * The buffer sizes and the write timeout of a connection.
 *
 * @param readBufferBytes the size of the read buffer, hence the most bytes passed to the handler at
 *     once
 * @param pauseReadAboveBytes reading pauses while more bytes than this are queued for writing
 * @param maxQueuedBytes the capacity of the write queue in bytes; a write that exceeds it closes
 *     the connection
 * @param writeTimeoutUs how long the peer may accept no byte while bytes are queued, in
 *     microseconds
 */
public record ConnectionLimits(
    int readBufferBytes, int pauseReadAboveBytes, int maxQueuedBytes, long writeTimeoutUs) {
  /** Limits for protocols with small messages. */
  public static final ConnectionLimits SMALL =
      new ConnectionLimits(8 << 10, 64 << 10, 1 << 20, 5_000_000);
}
