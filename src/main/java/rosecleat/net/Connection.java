package rosecleat.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import rosecleat.core.Failure;
import rosecleat.core.FailureReason;
import rosecleat.core.Progress;

/**
 * One connection: a read at a time, a write at a time, and a bounded queue of writes. Everything
 * but the bare completion handlers runs on the loop.
 *
 * <p>Its life goes one way, {@link State}, and ends in one method. {@link #closeGracefully} is how
 * a peer's connection is closed: what has come is heard and answered, what is queued is written,
 * and only then the peer is told the end. {@link #abort} is for a peer that takes nothing, for one
 * that is not heard any more, and for links of ours that carry nothing.
 *
 * <p>Backpressure works by not reading: while more than a mark of bytes waits to be written, no
 * read is started.
 */
public final class Connection {
  /** The states of a connection, in their only order; each but the last may be left out. */
  private enum State {
    /** Bytes are heard and written. */
    OPEN,
    /**
     * The same, but as soon as nothing is owed, queued or just arrived, the peer is told the end.
     */
    CLOSING,
    /**
     * The peer was told the end: what still comes crossed it, is not heard, and is read only so
     * that nothing is reset.
     */
    HALF_CLOSED,
    /** The socket is closed. */
    CLOSED
  }

  /** What is lost when a connection is closed. */
  public enum Use {
    /** Nothing: not one whole message has come. */
    SILENT,
    /** Nothing: all that came has been answered. */
    IDLE,
    /** Something: a message is being read or an answer is owed. */
    BUSY
  }

  /** What a connection tells its owner, on the loop. */
  public interface Owner {
    /** What closing it would cost; asked where room for others is short. */
    default Use use() {
      return Use.BUSY;
    }

    /**
     * Whether something that has come is still to be answered: a connection that is closing waits
     * for that.
     */
    default boolean owed() {
      return false;
    }

    /** Bytes have come; all of them are to be taken. */
    void received(ByteBuffer bytes);

    /**
     * The connection has ended; comes once. {@code atEnd} is true where the peer closed it in
     * order.
     */
    void closed(Failure failure, boolean atEnd);
  }

  /** The bounds of a connection, in bytes and microseconds. */
  public record Limits(int readBytes, int pauseAbove, int queueBytes, long stallUs) {
    /** Bounds for small messages. */
    public static final Limits SMALL = new Limits(8 << 10, 64 << 10, 1 << 20, 5_000_000);
  }

  /** Bytes handed to the system at once: it copies each piece into a buffer outside the heap. */
  private static final int PIECE = 16 << 10;

  /**
   * How long a connection closed here waits for its peer to close, so that no answer is cut off
   * (us).
   */
  private static final long LINGER_US = 1_000_000;

  /**
   * A request crosses the end of its connection by 50 ms at the most (PROTOCOL): nothing older is
   * under way on it (ns).
   */
  static final long CROSSING_NS = 60_000_000;

  private final EventLoop loop;
  private final AsynchronousSocketChannel channel;
  private final Limits limits;
  private final ByteBuffer input;
  private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
  private Owner owner;
  private int queued;
  private boolean reading;
  private boolean writing;
  private State state = State.OPEN;

  /** Set by the handler of a read, on its own thread, until the loop has taken what came. */
  private volatile boolean arrived;

  private long written;
  private long touchedNs = System.nanoTime();
  private long toldNs;
  private Future<?> stall;
  private Future<?> linger;

  Connection(EventLoop loop, AsynchronousSocketChannel channel, Limits limits) {
    this.loop = loop;
    this.channel = channel;
    this.limits = limits;
    input = ByteBuffer.allocate(limits.readBytes());
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException | UnsupportedOperationException e) {
      loop.log().info("a connection without TCP_NODELAY: " + e.getMessage());
    }
  }

  /** What becomes of an attempt to connect. */
  public interface ConnectHandler {
    /** The connection stands; call {@link #start} on it. */
    void connected(Connection connection);

    /** It does not; nothing was sent. */
    void failed(Failure failure);
  }

  /**
   * Connects to an address; the outcome comes once, on the loop. Guards against a time-out that
   * crosses the connect: the one that reaches the loop first decides, so that no owner is given a
   * connection that was closed meanwhile.
   */
  public static void dial(
      EventLoop loop, InetSocketAddress to, long timeoutUs, Limits limits, ConnectHandler outcome) {
    AsynchronousSocketChannel channel;
    try {
      channel = AsynchronousSocketChannel.open(loop.group());
    } catch (IOException | RuntimeException e) { // no descriptor left, or the group is closing
      loop.execute(
          () ->
              outcome.failed(
                  new Failure(Progress.NOT_SENT, FailureReason.NO_SOCKET, e.getMessage())));
      return;
    }
    new Dial(loop, channel, outcome).begin(to, timeoutUs, limits);
  }

  /** An attempt to connect, until its outcome is told. */
  private static final class Dial {
    private final EventLoop loop;
    private final AsynchronousSocketChannel channel;
    private final ConnectHandler outcome;
    private Future<?> timer;
    private boolean over;

    Dial(EventLoop loop, AsynchronousSocketChannel channel, ConnectHandler outcome) {
      this.loop = loop;
      this.channel = channel;
      this.outcome = outcome;
    }

    void begin(InetSocketAddress to, long timeoutUs, Limits limits) {
      timer = loop.schedule(timeoutUs, () -> fail("no answer in time"));
      try {
        channel.connect(
            to,
            null,
            handler(
                loop,
                done -> {
                  if (!over) {
                    over = true;
                    timer.cancel(false);
                    outcome.connected(new Connection(loop, channel, limits));
                  }
                },
                e -> fail(e.getMessage())));
      } catch (RuntimeException e) { // an address that can't be used
        loop.execute(() -> fail(e.toString()));
      }
    }

    private void fail(String why) {
      if (!over) {
        over = true;
        timer.cancel(false);
        closeQuietly(channel);
        outcome.failed(new Failure(Progress.NOT_SENT, FailureReason.CONNECT_FAILED, why));
      }
    }
  }

  /** What to do with a result, on the loop. */
  interface Then<T> {
    void take(T value);
  }

  /** A handler that only posts to the loop, whichever thread it runs on. */
  static <T> CompletionHandler<T, Void> handler(
      EventLoop loop, Then<T> done, Then<Throwable> failed) {
    return new CompletionHandler<>() {
      @Override
      public void completed(T result, Void none) {
        loop.execute(() -> done.take(result));
      }

      @Override
      public void failed(Throwable e, Void none) {
        loop.execute(() -> failed.take(e));
      }
    };
  }

  /** Names the owner and begins to read. */
  public void start(Owner to) {
    owner = to;
    read();
  }

  /** Whether nothing can be written any more: its end was told, or has come. */
  public boolean isClosed() {
    return state == State.HALF_CLOSED || state == State.CLOSED;
  }

  /** What is lost when it is closed now. */
  Use use() {
    return owner == null || state != State.OPEN || !queue.isEmpty() ? Use.BUSY : owner.use();
  }

  /** When bytes last came or went, by the system's monotonic clock. */
  long touchedNs() {
    return touchedNs;
  }

  /**
   * Whether it waits for its peer alone, and nothing more can be lost: the end was told long enough
   * ago, or when the last byte had come and gone as long before.
   */
  boolean lingers() {
    return state == State.HALF_CLOSED
        && !arrived
        && (System.nanoTime() - toldNs >= CROSSING_NS || toldNs - touchedNs >= CROSSING_NS);
  }

  /**
   * Queues bytes; false, and not one of them sent, where the connection is closed or its queue has
   * no room for them.
   */
  public boolean write(ByteBuffer bytes) {
    if (isClosed()) {
      return false;
    }
    if (queued + bytes.remaining() > limits.queueBytes()) {
      end(
          new Failure(Progress.NOT_SENT, FailureReason.WRITE_QUEUE_FULL, queued + " bytes wait"),
          false);
      return false;
    }
    queued += bytes.remaining();
    queue.add(bytes);
    flush();
    return true;
  }

  /**
   * Closes as soon as nothing is owed to the peer and all that is queued has been written; until
   * then whatever comes is heard. Then the peer is told the end, and the socket closes when the
   * peer has closed in its turn, or a little later: closing with bytes unread would reset the
   * connection, and the peer could lose the answer.
   */
  public void closeGracefully() {
    if (state == State.OPEN) {
      state = State.CLOSING;
    }
    tellEnd();
  }

  /** Tells the peer the end, once, and only in an instant at which nothing would be lost by it. */
  private void tellEnd() {
    if (state != State.CLOSING || !queue.isEmpty() || arrived || owner != null && owner.owed()) {
      return; // what is lacking brings it here again: the end of a write, or of what has come
    }
    state = State.HALF_CLOSED;
    toldNs = System.nanoTime();
    try {
      channel.shutdownOutput();
    } catch (IOException | RuntimeException e) {
      end(new Failure(Progress.SENT, FailureReason.CLOSED_LOCALLY), false);
      return;
    }
    linger =
        loop.schedule(
            LINGER_US, () -> end(new Failure(Progress.SENT, FailureReason.CLOSED_LOCALLY), false));
  }

  /** Closes at once: bytes that were not read or written are lost. */
  public void abort(String why) {
    end(
        new Failure(
            queue.isEmpty() ? Progress.SENT : Progress.NOT_SENT, FailureReason.ABORTED, why),
        false);
  }

  private void read() {
    if (reading || state == State.CLOSED || owner == null || queued > limits.pauseAbove()) {
      return;
    }
    reading = true;
    input.clear();
    try {
      channel.read(
          input,
          null,
          new CompletionHandler<Integer, Void>() {
            @Override
            public void completed(Integer count, Void none) {
              arrived = true; // before the loop hears of it: no end is told meanwhile
              loop.execute(() -> received(count));
            }

            @Override
            public void failed(Throwable e, Void none) {
              loop.execute(
                  () ->
                      end(
                          new Failure(Progress.SENT, FailureReason.READ_FAILED, e.getMessage()),
                          false));
            }
          });
    } catch (RuntimeException e) { // the channel was closed meanwhile
      end(new Failure(Progress.SENT, FailureReason.READ_FAILED, e.toString()), false);
    }
  }

  private void received(int count) {
    reading = false;
    if (state == State.CLOSED) {
      return;
    }
    touchedNs = System.nanoTime();
    if (count < 0) {
      end(new Failure(Progress.SENT, FailureReason.CLOSED_BY_PEER), true);
      return;
    }
    input.flip();
    try {
      if (state != State.HALF_CLOSED) {
        owner.received(input);
      }
    } catch (RuntimeException e) { // exceptions stop at the connection
      StackTraceElement[] trace = e.getStackTrace();
      end(
          new Failure(
              Progress.SENT,
              FailureReason.OWNER_FAILED,
              e + (trace.length == 0 ? "" : " at " + trace[0])),
          false);
    }
    arrived = false; // and not before: its owner may close in the middle of what came
    read();
    tellEnd();
  }

  private void flush() {
    ByteBuffer next = queue.peek();
    if (writing || state == State.CLOSED || next == null) {
      return;
    }
    writing = true;
    if (stall == null) {
      long before = written;
      stall = loop.schedule(limits.stallUs(), () -> stalled(before));
    }
    ByteBuffer piece = next.duplicate();
    piece.limit(Math.min(next.limit(), next.position() + PIECE));
    try {
      channel.write(
          piece,
          null,
          handler(
              loop,
              this::wrote,
              e ->
                  end(
                      new Failure(
                          Progress.MAY_HAVE_RUN, FailureReason.WRITE_FAILED, e.getMessage()),
                      false)));
    } catch (RuntimeException e) {
      end(new Failure(Progress.MAY_HAVE_RUN, FailureReason.WRITE_FAILED, e.toString()), false);
    }
  }

  /** Guards against a peer that takes nothing for a whole span while bytes wait for it. */
  private void stalled(long before) {
    stall = null;
    if (state == State.CLOSED || queue.isEmpty()) {
      return;
    }
    if (written == before) {
      end(new Failure(Progress.NOT_SENT, FailureReason.WRITE_TIMED_OUT), false);
    } else {
      long now = written;
      stall = loop.schedule(limits.stallUs(), () -> stalled(now));
    }
  }

  private void wrote(int count) {
    writing = false;
    if (state == State.CLOSED) {
      return;
    }
    queued -= count;
    written += count;
    touchedNs = System.nanoTime();
    ByteBuffer first = queue.element();
    first.position(first.position() + count);
    if (!first.hasRemaining()) {
      queue.remove();
    }
    if (queue.isEmpty()) {
      if (stall != null) {
        stall.cancel(false);
        stall = null;
      }
    }
    flush();
    read();
    tellEnd();
  }

  private void end(Failure failure, boolean atEnd) {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    queue.clear();
    queued = 0;
    if (stall != null) {
      stall.cancel(false);
    }
    if (linger != null) {
      linger.cancel(false);
    }
    closeQuietly(channel);
    if (owner != null) {
      loop.execute(() -> owner.closed(failure, atEnd)); // never inside the owner's own call
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
