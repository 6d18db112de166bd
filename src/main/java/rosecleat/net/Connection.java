package rosecleat.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.concurrent.Future;
import rosecleat.core.Failure;
import rosecleat.core.FailureReason;
import rosecleat.core.Progress;

/**
 * One connection: at most one read and one write in progress, and a bounded queue of writes.
 * Everything but the bare completion handlers runs on the loop.
 *
 * <p>The states, each of which is entered at most once, in this order:
 *
 * <pre>
 *   OPEN ----closeGracefully----> CLOSING ----nothing pending----> HALF_CLOSED ----> CLOSED
 *     |                              |                                  |              ^
 *     +------------------------------+----------------------------------+--------------+
 *        abort, end of stream, failed read or write, write timeout, write queue overflow
 * </pre>
 *
 * <ul>
 *   <li>{@code OPEN}: bytes are received and written.
 *   <li>{@code CLOSING}: the same, until no response is pending, nothing is queued and no received
 *       bytes await the loop; then the output is shut down.
 *   <li>{@code HALF_CLOSED}: the peer has been sent the end of the stream. What it still sends is
 *       read and dropped, as closing with unread bytes would reset the connection and the peer
 *       could lose its last response. Left when the peer closes, or after the linger time.
 *   <li>{@code CLOSED}: the socket is closed and the handler is notified, once.
 * </ul>
 *
 * <p>{@link #close} alone enters {@code CLOSED}. {@link #closeGracefully} is the way to close a
 * peer's connection; {@link #abort} is for a peer that does not read, for one whose messages no
 * longer matter, and for connections of this process that carry nothing.
 *
 * <p>Backpressure works by not reading: while more than {@link
 * ConnectionLimits#pauseReadAboveBytes} wait to be written, no read is started.
 */
public final class Connection {
  private enum State {
    OPEN,
    CLOSING,
    HALF_CLOSED,
    CLOSED
  }

  /** How long a half-closed connection waits for its peer to close (us). */
  private static final long LINGER_US = 1_000_000;

  /**
   * The protocol bounds by 50 ms how long a request can be in flight when its connection ends; the
   * rest is margin (ns).
   */
  static final long MAX_IN_FLIGHT_NS = 60_000_000;

  private final EventLoop loop;
  private final AsynchronousSocketChannel channel;
  private final ConnectionLimits limits;
  private final ByteBuffer input;
  private final WriteQueue writeQueue = new WriteQueue();

  /** Absent until {@link #start}. */
  private ConnectionHandler handler;

  private boolean reading;
  private boolean writing;
  private State state = State.OPEN;

  /** Set on the thread of the channels when a read completes, until the loop has handled it. */
  private volatile boolean readCompleted;

  private long lastActivityNs = System.nanoTime();
  private long outputShutdownNs;
  private Future<?> writeTimeout;
  private Future<?> lingerTimeout;

  Connection(EventLoop loop, AsynchronousSocketChannel channel, ConnectionLimits limits) {
    this.loop = loop;
    this.channel = channel;
    this.limits = limits;
    input = ByteBuffer.allocate(limits.readBufferBytes());
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException | UnsupportedOperationException e) {
      loop.log().info("a connection without TCP_NODELAY: " + e.getMessage());
    }
  }

  /** Connects to an address; the outcome is reported to the handler once, on the loop. */
  public static void connect(
      EventLoop loop,
      InetSocketAddress address,
      long timeoutUs,
      ConnectionLimits limits,
      ConnectHandler handler) {
    ConnectAttempt.begin(loop, address, timeoutUs, limits, handler);
  }

  /** Sets the handler and begins to read. */
  public void start(ConnectionHandler newHandler) {
    handler = newHandler;
    read();
  }

  /** Returns whether nothing can be written any more: the output is shut down, or all is closed. */
  public boolean isClosed() {
    return state == State.HALF_CLOSED || state == State.CLOSED;
  }

  /** Returns what would be lost by closing now. */
  ConnectionUsage usage() {
    return handler == null || state != State.OPEN || !writeQueue.isEmpty()
        ? ConnectionUsage.BUSY
        : handler.usage();
  }

  /** Returns when bytes were last read or written, by {@link System#nanoTime}. */
  long lastActivityNs() {
    return lastActivityNs;
  }

  /**
   * Returns whether it only lingers and nothing can be in flight any more: the output was shut down
   * long enough ago, or at a time when the connection had long been quiet.
   */
  boolean lingersWithNothingInFlight() {
    return state == State.HALF_CLOSED && !readCompleted && nsUntilNothingInFlight() <= 0;
  }

  /**
   * Returns how long it takes at least until nothing that the peer sent can be in flight: from the
   * last activity on while the connection is open; where the output was shut down while something
   * could be, from then on.
   */
  long nsUntilNothingInFlight() {
    boolean idleAtShutdown = outputShutdownNs - lastActivityNs >= MAX_IN_FLIGHT_NS;
    long sinceNs =
        state == State.HALF_CLOSED && !idleAtShutdown ? outputShutdownNs : lastActivityNs;
    return sinceNs + MAX_IN_FLIGHT_NS - System.nanoTime();
  }

  /**
   * Queues bytes to be written.
   *
   * @return false, with no byte sent, where the connection is closed or its queue has no room
   */
  public boolean write(ByteBuffer bytes) {
    if (isClosed()) {
      return false;
    }
    int queuedBytes = writeQueue.queuedBytes();
    if (queuedBytes + bytes.remaining() > limits.maxQueuedBytes()) {
      close(
          new Failure(
              Progress.NOT_SENT, FailureReason.WRITE_QUEUE_FULL, queuedBytes + " bytes wait"),
          false);
      return false;
    }
    writeQueue.add(bytes);
    writeNext();
    return true;
  }

  /**
   * Closes once no response is pending and all that is queued has been written; until then bytes
   * are received as before. May be called again, to no effect.
   */
  public void closeGracefully() {
    if (state == State.OPEN) {
      state = State.CLOSING;
    }
    shutdownOutputWhenDrained();
  }

  /** Closes at once: bytes that were not read or written are lost. */
  public void abort(String detail) {
    close(
        new Failure(
            writeQueue.isEmpty() ? Progress.SENT : Progress.NOT_SENT,
            FailureReason.ABORTED,
            detail),
        false);
  }

  /** Shuts the output down if nothing would be lost; called again after each read and write. */
  private void shutdownOutputWhenDrained() {
    if (state != State.CLOSING
        || !writeQueue.isEmpty()
        || readCompleted
        || (handler != null && handler.hasPendingResponses())) {
      return;
    }
    state = State.HALF_CLOSED;
    outputShutdownNs = System.nanoTime();
    try {
      channel.shutdownOutput();
    } catch (IOException | RuntimeException e) {
      closeLocally();
      return;
    }
    lingerTimeout = loop.schedule(LINGER_US, this::closeLocally);
  }

  private void closeLocally() {
    close(new Failure(Progress.SENT, FailureReason.CLOSED_LOCALLY), false);
  }

  private void read() {
    if (reading
        || state == State.CLOSED
        || handler == null
        || writeQueue.queuedBytes() > limits.pauseReadAboveBytes()) {
      return;
    }
    reading = true;
    input.clear();
    try {
      channel.read(input, null, new ReadCompletionHandler());
    } catch (RuntimeException e) { // the channel was closed meanwhile
      close(new Failure(Progress.SENT, FailureReason.READ_FAILED, e.toString()), false);
    }
  }

  /** Marks the completion before it posts it, so that the output is not shut down in between. */
  private final class ReadCompletionHandler extends LoopCompletionHandler<Integer> {
    ReadCompletionHandler() {
      super(
          loop,
          Connection.this::received,
          cause ->
              close(
                  new Failure(Progress.SENT, FailureReason.READ_FAILED, cause.getMessage()),
                  false));
    }

    @Override
    public void completed(Integer count, Void unused) {
      readCompleted = true;
      super.completed(count, null);
    }
  }

  private void received(int count) {
    reading = false;
    if (state == State.CLOSED) {
      return;
    }
    lastActivityNs = System.nanoTime();
    if (count < 0) {
      close(new Failure(Progress.SENT, FailureReason.CLOSED_BY_PEER), true);
      return;
    }
    input.flip();
    if (state != State.HALF_CLOSED) {
      dispatchInput();
    }
    readCompleted = false; // only now: the handler may close in the middle of the input
    read();
    shutdownOutputWhenDrained();
  }

  /** Hands the input to the handler; an exception there ends this connection alone. */
  private void dispatchInput() {
    try {
      handler.received(input);
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      String location = trace.length == 0 ? "" : " at " + trace[0];
      close(new Failure(Progress.SENT, FailureReason.HANDLER_FAILED, e + location), false);
    }
  }

  private void writeNext() {
    if (writing || state == State.CLOSED || writeQueue.isEmpty()) {
      return;
    }
    writing = true;
    if (writeTimeout == null) {
      scheduleWriteTimeout();
    }
    try {
      channel.write(
          writeQueue.nextChunk(),
          null,
          new LoopCompletionHandler<Integer>(
              loop,
              this::written,
              cause ->
                  close(
                      new Failure(
                          Progress.MAY_HAVE_RUN, FailureReason.WRITE_FAILED, cause.getMessage()),
                      false)));
    } catch (RuntimeException e) {
      close(new Failure(Progress.MAY_HAVE_RUN, FailureReason.WRITE_FAILED, e.toString()), false);
    }
  }

  private void written(int count) {
    writing = false;
    if (state == State.CLOSED) {
      return;
    }
    writeQueue.written(count);
    lastActivityNs = System.nanoTime();
    if (writeQueue.isEmpty()) {
      cancelWriteTimeout();
    }
    writeNext();
    read();
    shutdownOutputWhenDrained();
  }

  private void scheduleWriteTimeout() {
    long writtenBefore = writeQueue.writtenBytes();
    writeTimeout = loop.schedule(limits.writeTimeoutUs(), () -> checkWriteProgress(writtenBefore));
  }

  /** Closes the connection to a peer that took no byte for the whole timeout. */
  private void checkWriteProgress(long writtenBefore) {
    writeTimeout = null;
    if (state == State.CLOSED || writeQueue.isEmpty()) {
      return;
    }
    if (writeQueue.writtenBytes() == writtenBefore) {
      close(new Failure(Progress.NOT_SENT, FailureReason.WRITE_TIMED_OUT), false);
    } else {
      scheduleWriteTimeout();
    }
  }

  private void cancelWriteTimeout() {
    if (writeTimeout != null) {
      writeTimeout.cancel(false);
      writeTimeout = null;
    }
  }

  /** Enters {@code CLOSED}: the only way in which a connection ends. */
  private void close(Failure failure, boolean endOfStream) {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    writeQueue.clear();
    cancelWriteTimeout();
    if (lingerTimeout != null) {
      lingerTimeout.cancel(false);
    }
    closeQuietly(channel);
    if (handler != null) {
      loop.execute(
          () -> handler.closed(failure, endOfStream)); // never inside the handler's own call
    }
  }

  static void closeQuietly(AutoCloseable channel) {
    try {
      channel.close();
    } catch (Exception e) {
      // nothing is left to do with it
    }
  }
}
