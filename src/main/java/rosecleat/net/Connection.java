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
 * A TCP connection with at most one read and one write in progress and a bounded write queue. All
 * methods run on the event loop; completion handlers of the channel only post to it.
 *
 * <p>A connection enters each of these states at most once, in this order:
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
 *   <li>{@code CLOSING}: bytes are still received and written, until no response is pending, the
 *       write queue is empty and no completed read waits for the loop. Then the output is shut
 *       down.
 *   <li>{@code HALF_CLOSED}: the output is shut down. Bytes that the peer still sends are read and
 *       dropped, because closing a socket with unread bytes resets the connection and the peer
 *       could lose its last response. This state ends when the peer closes or the linger time has
 *       passed.
 *   <li>{@code CLOSED}: the socket is closed, and the handler is notified once.
 * </ul>
 *
 * <p>Only {@link #close} enters {@code CLOSED}. Connections accepted from a peer are normally
 * closed with {@link #closeGracefully}. {@link #abort} is meant for peers that do not read, for
 * peers whose messages no longer matter, and for unused connections that this process has opened.
 *
 * <p>Backpressure: input is not handled while more than {@link
 * ConnectionLimits#pauseReadAboveBytes} are queued for writing, or much for what is left of the
 * {@link OutputMemory}.
 */
public final class Connection {
  private enum State {
    OPEN,
    CLOSING,
    HALF_CLOSED,
    CLOSED
  }

  /** Time for which a half-closed connection waits for its peer to close. */
  private static final long LINGER_US = 1_000_000;

  /**
   * Longest time for which a request can be in flight when its connection ends: the protocol allows
   * 50 ms, and 10 ms are margin.
   */
  static final long MAX_IN_FLIGHT_NS = 60_000_000;

  /** Input after which the other connections get their turn, counted in whole buffers. */
  private static final int TURN_BYTES = 4 << 10;

  private final EventLoop loop;
  private final AsynchronousSocketChannel channel;
  private final ConnectionLimits limits;
  private final InputReader reader;
  private final WriteQueue writeQueue;
  private final WriteTimeout writeTimeout;

  /** Null until {@link #start}. */
  private ConnectionHandler handler;

  /** Whether the next turn of this connection's input is queued on the loop. */
  private boolean turnScheduled;

  private boolean writing;
  private State state = State.OPEN;

  private long lastActivityNs = System.nanoTime();
  private long outputShutdownNs;
  private Future<?> lingerTimeout;

  Connection(EventLoop loop, AsynchronousSocketChannel channel, ConnectionLimits limits) {
    this.loop = loop;
    this.channel = channel;
    this.limits = limits;
    reader =
        new InputReader(
            loop, channel, limits.readBufferBytes(), limits.readAhead(), this::inputAvailable);
    writeQueue = new WriteQueue(limits.output(), this::closeForUnreadOutput);
    writeTimeout =
        new WriteTimeout(loop, limits.writeTimeoutUs(), writeQueue, this::closeAfterWriteTimeout);
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException | UnsupportedOperationException e) {
      loop.log().info("could not set TCP_NODELAY on a connection: " + e.getMessage());
    }
  }

  /** Connects to an address and reports the outcome to the handler once, on the loop. */
  public static void connect(
      EventLoop loop,
      InetSocketAddress address,
      long timeoutUs,
      ConnectionLimits limits,
      ConnectHandler handler) {
    ConnectAttempt.begin(loop, address, timeoutUs, limits, handler);
  }

  /** Sets the handler and starts to read. */
  public void start(ConnectionHandler newHandler) {
    handler = newHandler;
    reader.read();
  }

  /** Returns whether writing has ended: the output is shut down, or the connection is closed. */
  public boolean isClosed() {
    return state == State.HALF_CLOSED || state == State.CLOSED;
  }

  /** Returns what would be lost if the connection were closed now. */
  ConnectionUsage usage() {
    return handler == null || state != State.OPEN || !writeQueue.isEmpty()
        ? ConnectionUsage.BUSY
        : handler.usage();
  }

  /** Returns the time of the last read or write, as {@link System#nanoTime} counts. */
  long lastActivityNs() {
    return lastActivityNs;
  }

  /**
   * Returns whether the connection is half-closed and no bytes from the peer can be in flight any
   * more, because the output was shut down long enough ago or after a long enough idle period.
   */
  boolean lingersWithNothingInFlight() {
    return state == State.HALF_CLOSED && !reader.hasUnhandled() && nsUntilNothingInFlight() <= 0;
  }

  /**
   * Returns the least time until no bytes from the peer can be in flight; zero or less if none can
   * be. The time counts from the last activity. If the output was shut down while bytes could still
   * be in flight, the time counts from the shutdown.
   */
  long nsUntilNothingInFlight() {
    boolean idleAtShutdown = outputShutdownNs - lastActivityNs >= MAX_IN_FLIGHT_NS;
    long sinceNs =
        state == State.HALF_CLOSED && !idleAtShutdown ? outputShutdownNs : lastActivityNs;
    return sinceNs + MAX_IN_FLIGHT_NS - System.nanoTime();
  }

  /**
   * Queues bytes for writing. If they exceed the capacity of the write queue, the connection is
   * closed.
   *
   * @return false if writing has ended or the bytes exceed the queue's capacity; none of them is
   *     sent then
   */
  public boolean write(ByteBuffer bytes) {
    if (isClosed()) {
      return false;
    }
    if (writeQueue.queuedBytes() + bytes.remaining() > limits.maxQueuedBytes()
        || !limits.output().makeRoom(bytes.remaining() + WriteQueue.BUFFER_OBJECT_BYTES)) {
      closeForUnreadOutput();
    }
    if (isClosed()) { // also where this connection was closed to make room
      return false;
    }
    writeQueue.add(bytes);
    writeNext();
    return true;
  }

  /**
   * Closes the connection once no response is pending and all queued bytes have been written. Until
   * then bytes are still received. May be called again: each call checks anew whether the output
   * can be shut down.
   */
  public void closeGracefully() {
    if (state == State.OPEN) {
      state = State.CLOSING;
    }
    shutdownOutputWhenDrained();
  }

  /** Closes the connection immediately; unread and unwritten bytes are lost. */
  public void abort(String detail) {
    close(
        new Failure(
            writeQueue.isEmpty() ? Progress.SENT : Progress.NOT_SENT,
            FailureReason.ABORTED,
            detail),
        false);
  }

  /**
   * Shuts the output down if the connection is closing and nothing would be lost. Called after each
   * read and write, and by each {@link #closeGracefully}.
   */
  private void shutdownOutputWhenDrained() {
    if (state != State.CLOSING
        || !writeQueue.isEmpty()
        || reader.hasUnhandled()
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

  /** Closes the connection because its peer does not read its output. */
  private void closeForUnreadOutput() {
    close(
        new Failure(
            Progress.NOT_SENT,
            FailureReason.WRITE_QUEUE_FULL,
            writeQueue.queuedBytes() + " bytes wait"),
        false);
  }

  private void closeAfterWriteTimeout() {
    close(new Failure(Progress.NOT_SENT, FailureReason.WRITE_TIMED_OUT), false);
  }

  private void closeLocally() {
    close(new Failure(Progress.SENT, FailureReason.CLOSED_LOCALLY), false);
  }

  private void inputAvailable() {
    if (state != State.CLOSED) {
      lastActivityNs = System.nanoTime();
      reader.announceArrived();
      handleInput();
    }
  }

  /**
   * Lets the handler handle some input. The rest waits for the other connections' turns on the
   * loop, and until the peer has read what it was sent.
   */
  private void handleInput() {
    if (turnScheduled || state == State.CLOSED || closeAtEndOfInput() || isOutputBackedUp()) {
      return;
    }
    if (reader.input() != null) {
      boolean turnEnded = handleBuffers();
      if (state == State.CLOSED) {
        return;
      }
      if (turnEnded || reader.end() != null) {
        turnScheduled = true;
        loop.execute(this::takeTurn);
      }
    }
    reader.read();
    shutdownOutputWhenDrained();
  }

  /** Lets the handler handle input; returns true if its turn ended before the input did. */
  private boolean handleBuffers() {
    int handledBytes = 0;
    ByteBuffer input = reader.input();
    while (input != null && handledBytes < TURN_BYTES) {
      int position = input.position();
      dispatchInput(input);
      if (state == State.CLOSED) {
        return false;
      }
      handledBytes += input.position() - position;
      if (state != State.HALF_CLOSED && input.hasRemaining() && handler.leftInput()) {
        return true;
      }
      reader.releaseInput();
      input = reader.input();
    }
    return input != null;
  }

  private void takeTurn() {
    turnScheduled = false;
    handleInput();
  }

  /** Closes the connection if its input has ended and none is left to be handled. */
  private boolean closeAtEndOfInput() {
    InputReader.End end = reader.end();
    boolean discards = state == State.HALF_CLOSED || handler.discardsInputAtEnd();
    if (end == null || !(discards || !reader.hasInput())) {
      return false;
    }
    FailureReason reason =
        end.endOfStream() ? FailureReason.CLOSED_BY_PEER : FailureReason.READ_FAILED;
    close(new Failure(Progress.SENT, reason, end.detail()), end.endOfStream());
    return true;
  }

  private boolean isOutputBackedUp() {
    int queuedBytes = writeQueue.queuedBytes();
    return queuedBytes > limits.pauseReadAboveBytes()
        || (queuedBytes > 0 && limits.output().isScarceFor(writeQueue.heapBytes()));
  }

  /**
   * Passes the input to the handler. An exception in the handler closes only this connection, as
   * does an error that concerns this input alone; other errors, such as lack of memory, are not
   * caught.
   */
  private void dispatchInput(ByteBuffer input) {
    if (state == State.HALF_CLOSED) {
      return;
    }
    try {
      handler.received(input);
    } catch (RuntimeException | StackOverflowError | AssertionError e) {
      String description = EventLoop.describe(e);
      loop.log().warn("connection is closed, since its input could not be handled: " + description);
      close(new Failure(Progress.SENT, FailureReason.HANDLER_FAILED, description), false);
    }
  }

  private void writeNext() {
    if (writing || state == State.CLOSED || writeQueue.isEmpty()) {
      return;
    }
    writing = true;
    writeTimeout.start();
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
      writeTimeout.cancel();
    }
    writeNext();
    handleInput();
    shutdownOutputWhenDrained();
  }

  /** Enters {@code CLOSED}. Every connection ends through this method. */
  private void close(Failure failure, boolean endOfStream) {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    reader.close();
    writeQueue.clear();
    writeTimeout.cancel();
    if (lingerTimeout != null) {
      lingerTimeout.cancel(false);
    }
    closeQuietly(channel);
    if (handler != null) {
      loop.execute(
          () -> handler.closed(failure, endOfStream)); // posted, so never within a handler's call
    }
  }

  static void closeQuietly(AutoCloseable channel) {
    try {
      channel.close();
    } catch (Exception e) {
      // there is no way to recover, and the channel is not used again
    }
  }
}
