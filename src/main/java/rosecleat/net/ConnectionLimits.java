package rosecleat.net;

/**
 * The buffer sizes and the write timeout of a connection.
 *
 * @param readBufferBytes the size of the read buffers that the connection has of its own
 * @param pauseReadAboveBytes reading pauses while more bytes than this are queued for writing
 * @param maxQueuedBytes the capacity of the write queue in bytes; a write that exceeds it closes
 *     the connection
 * @param writeTimeoutUs how long the peer may accept no byte while bytes are queued, in
 *     microseconds
 * @param readAhead the memory for reading ahead that this connection shares with others
 * @param output the memory for unread output that this connection shares with others
 */
public record ConnectionLimits(
    int readBufferBytes,
    int pauseReadAboveBytes,
    int maxQueuedBytes,
    long writeTimeoutUs,
    ReadAheadMemory readAhead,
    OutputMemory output) {
  /** Limits for protocols with small messages. */
  public static final ConnectionLimits SMALL =
      new ConnectionLimits(8 << 10, 64 << 10, 1 << 20, 5_000_000);

  /** Creates limits of a connection that shares no memory with others, such as one to a backend. */
  public ConnectionLimits(
      int readBufferBytes, int pauseReadAboveBytes, int maxQueuedBytes, long writeTimeoutUs) {
    this(
        readBufferBytes,
        pauseReadAboveBytes,
        maxQueuedBytes,
        writeTimeoutUs,
        ReadAheadMemory.NONE,
        OutputMemory.UNLIMITED);
  }
}
