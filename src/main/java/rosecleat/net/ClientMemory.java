package rosecleat.net;

/**
 * The heap that clients of a process may make it hold. What the process itself needs is left out;
 * the rest is divided between the connections as such, incomplete input, input that is read ahead,
 * requests in flight and unread output, so that none of these can take the part of another. All
 * methods must be called on the event loop.
 *
 * <p>The parts are sums over all clients. The number of connections only determines how much is set
 * aside for clients that hold little.
 */
public final class ClientMemory {
  /** Heap of a process without clients: classes, the policy's state, caches and the log. */
  private static final long PROCESS_BYTES = 6 << 20;

  /**
   * Share of the heap for the process and its clients. The rest is for remembered keys, their
   * results and garbage.
   */
  private static final double USABLE_HEAP_SHARE = 0.55;

  /** Least share of the heap for clients, which applies to the smallest heaps. */
  private static final double MIN_CLIENT_SHARE = 0.25;

  /** Objects of an idle connection, without its read buffer. */
  private static final int CONNECTION_BYTES = 3 << 10;

  private static final int MIN_READ_BUFFER_BYTES = 1 << 10;
  private static final int MAX_READ_BUFFER_BYTES = 8 << 10;

  /** Share of the memory for clients from which read buffers are sized. */
  private static final double CONNECTIONS_SHARE = 1 / 3.0;

  /** Most of the memory for clients that connections with the smallest read buffers may take. */
  private static final double MAX_CONNECTIONS_SHARE = 0.5;

  private static final double INCOMPLETE_SHARE = 0.30;
  private static final double REQUESTS_SHARE = 0.30;
  private static final double OUTPUT_SHARE = 0.30;
  private static final double READ_AHEAD_SHARE = 0.10;

  /** Most incomplete input of a client that sends requests of usual size, with its objects. */
  private static final long SMALL_INPUT_BYTES = 4 << 10;

  /** Most heap of the requests in flight of a client that has few of them. */
  private static final long SMALL_REQUESTS_BYTES = 8 << 10;

  private final int maxConnections;
  private final int readBufferBytes;
  private final MemoryPool incompleteInput;
  private final MemoryPool requests;
  private final OutputMemory output;
  private final ReadAheadMemory readAhead;

  /**
   * Divides the memory.
   *
   * @param heapBytes the maximum size of the heap
   * @param wantedConnections the most connections of clients that other limits allow, at least 1
   */
  public ClientMemory(long heapBytes, int wantedConnections) {
    long clientBytes =
        (long)
            Math.max(USABLE_HEAP_SHARE * heapBytes - PROCESS_BYTES, MIN_CLIENT_SHARE * heapBytes);
    long mostConnections =
        (long) (MAX_CONNECTIONS_SHARE * clientBytes / (CONNECTION_BYTES + MIN_READ_BUFFER_BYTES));
    maxConnections = (int) Math.max(1, Math.min(wantedConnections, mostConnections));
    readBufferBytes = readBufferBytes(clientBytes, maxConnections);
    long connectionBytes = (long) maxConnections * (CONNECTION_BYTES + readBufferBytes);
    long remainingBytes = clientBytes - connectionBytes;
    incompleteInput =
        new MemoryPool(
            (long) (INCOMPLETE_SHARE * remainingBytes), SMALL_INPUT_BYTES, maxConnections);
    requests =
        new MemoryPool(
            (long) (REQUESTS_SHARE * remainingBytes), SMALL_REQUESTS_BYTES, maxConnections);
    output = new OutputMemory((long) (OUTPUT_SHARE * remainingBytes));
    readAhead = new ReadAheadMemory((long) (READ_AHEAD_SHARE * remainingBytes));
  }

  private static int readBufferBytes(long clientBytes, int connections) {
    long perConnection = (long) (CONNECTIONS_SHARE * clientBytes) / connections - CONNECTION_BYTES;
    return (int) Math.max(MIN_READ_BUFFER_BYTES, Math.min(MAX_READ_BUFFER_BYTES, perConnection));
  }

  /** Returns the most connections of clients that the memory allows. */
  public int maxConnections() {
    return maxConnections;
  }

  /** Returns the size of the read buffer of each connection. */
  public int readBufferBytes() {
    return readBufferBytes;
  }

  /** Returns the memory for messages of which a part has been received. */
  public MemoryPool incompleteInput() {
    return incompleteInput;
  }

  /** Returns the memory for requests that await their responses. */
  public MemoryPool requests() {
    return requests;
  }

  /** Returns the memory for input that is read ahead of its handling. */
  public ReadAheadMemory readAhead() {
    return readAhead;
  }

  /** Returns the memory for output that clients have not read. */
  public OutputMemory output() {
    return output;
  }
}
