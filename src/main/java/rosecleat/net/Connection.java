package rosecleat.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import rosecleat.core.Fault;
import rosecleat.core.Progress;

/**
 * One connection: a read at a time, a write at a time, and a bounded queue of writes. Everything but the
 * bare completion handlers runs on the loop.
 *
 * <p>Backpressure works by not reading: while more than a mark of bytes waits to be written, no read is
 * started.
 */
public final class Connection {
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

    /** Bytes have come; all of them are to be taken. */
    void received(ByteBuffer bytes);

    /** The connection has ended; comes once. {@code atEnd} is true where the peer closed it in order. */
    void closed(Fault fault, boolean atEnd);
  }

  /** The bounds of a connection, in bytes and microseconds. */
  public record Limits(int readBytes, int pauseAbove, int queueBytes, long stallUs) {
    /** Bounds for small messages. */
    public static final Limits SMALL = new Limits(8 << 10, 64 << 10, 1 << 20, 5_000_000);
  }

  /** Bytes handed to the system at once: it copies each piece into a buffer outside the heap. */
  private static final int PIECE = 16 << 10;
  /** How long a connection closed here waits for its peer to close, so that no answer is cut off (us). */
  private static final long LINGER_US = 1_000_000;

  private final EventLoop loop;
  private final AsynchronousSocketChannel channel;
  private final Limits limits;
  private final ByteBuffer input;
  private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
  private Owner owner;
  private int queued;
  private boolean reading;
  private boolean writing;
  private boolean closing;
  private boolean closed;
  private long written;
  private long touchedNs = System.nanoTime();
  private Future<?> stall;

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
  public interface Dialled {
    /** The connection stands; call {@link #start} on it. */
    void connected(Connection connection);

    /** It does not; nothing was sent. */
    void failed(Fault fault);
  }

  /** Connects to an address; the outcome comes once, on the loop. */
  public static void dial(EventLoop loop, InetSocketAddress to, long timeoutUs, Limits limits, Dialled outcome) {
    AsynchronousSocketChannel channel;
    try {
      channel = AsynchronousSocketChannel.open(loop.group());
    } catch (IOException | RuntimeException e) { // no descriptor left, or the group is closing
      loop.execute(() -> outcome.failed(new Fault(Progress.NOT_SENT, "no socket: " + e.getMessage())));
      return;
    }
    Future<?> timer = loop.after(timeoutUs, () -> closeQuietly(channel));
    try {
      channel.connect(to, null, handler(loop, done -> {
        timer.cancel(false);
        outcome.connected(new Connection(loop, channel, limits));
      }, e -> {
        timer.cancel(false);
        closeQuietly(channel);
        outcome.failed(new Fault(Progress.NOT_SENT, "not connected: " + e.getMessage()));
      }));
    } catch (RuntimeException e) { // an address that can't be used
      timer.cancel(false);
      closeQuietly(channel);
      loop.execute(() -> outcome.failed(new Fault(Progress.NOT_SENT, "not connected: " + e)));
    }
  }

  /** What to do with a result, on the loop. */
  interface Then<T> {
    void take(T value);
  }

  /** A handler that only posts to the loop, whichever thread it runs on. */
  static <T> CompletionHandler<T, Void> handler(EventLoop loop, Then<T> done, Then<Throwable> failed) {
    return new CompletionHandler<>() {
      @Override public void completed(T result, Void none) {
        loop.execute(() -> done.take(result));
      }

      @Override public void failed(Throwable e, Void none) {
        loop.execute(() -> failed.take(e));
      }
    };
  }

  /** Names the owner and begins to read. */
  public void start(Owner to) {
    owner = to;
    read();
  }

  /** Whether the connection is over or about to be. */
  public boolean isClosed() {
    return closed || closing;
  }

  /** What is lost when it is closed now. */
  Use use() {
    return owner == null || isClosed() || !queue.isEmpty() ? Use.BUSY : owner.use();
  }

  /** When bytes last came or went, by the system's monotonic clock. */
  long touchedNs() {
    return touchedNs;
  }

  /** Queues bytes; false, and the connection closed, where the queue has no room for them. */
  public boolean write(ByteBuffer bytes) {
    if (isClosed()) {
      return false;
    }
    if (queued + bytes.remaining() > limits.queueBytes()) {
      end(new Fault(Progress.NOT_SENT, "the peer does not read: " + queued + " bytes wait"), false);
      return false;
    }
    queued += bytes.remaining();
    queue.add(bytes);
    flush();
    return true;
  }

  /**
   * Closes once all that is queued has been written and the peer has closed in its turn, or a little later.
   * What still comes in is thrown away: closing with bytes unread would reset the connection, and the peer
   * could lose the answer.
   */
  public void closeWhenWritten() {
    closing = true;
    if (queue.isEmpty()) {
      shutOutput();
    }
    read();
  }

  private void shutOutput() {
    try {
      channel.shutdownOutput();
    } catch (IOException | RuntimeException e) {
      end(new Fault(Progress.SENT, "closed here"), false);
      return;
    }
    loop.after(LINGER_US, () -> end(new Fault(Progress.SENT, "closed here"), false));
  }

  /** Closes at once. */
  public void close(String why) {
    end(new Fault(queue.isEmpty() ? Progress.SENT : Progress.NOT_SENT, why), false);
  }

  private void read() {
    if (reading || closed || owner == null || queued > limits.pauseAbove()) {
      return;
    }
    reading = true;
    input.clear();
    try {
      channel.read(input, null, handler(loop, this::received,
          e -> end(new Fault(Progress.SENT, "read failed: " + e.getMessage()), false)));
    } catch (RuntimeException e) { // the channel was closed meanwhile
      end(new Fault(Progress.SENT, "read failed: " + e), false);
    }
  }

  private void received(int count) {
    reading = false;
    if (closed) {
      return;
    }
    touchedNs = System.nanoTime();
    if (count < 0) {
      end(new Fault(Progress.SENT, "the peer closed"), true);
      return;
    }
    input.flip();
    try {
      if (!closing) {
        owner.received(input);
      }
    } catch (RuntimeException e) { // exceptions stop at the connection
      StackTraceElement[] trace = e.getStackTrace();
      end(new Fault(Progress.SENT, "failed here: " + e + (trace.length == 0 ? "" : " at " + trace[0])), false);
    }
    read();
  }

  private void flush() {
    ByteBuffer next = queue.peek();
    if (writing || closed || next == null) {
      return;
    }
    writing = true;
    if (stall == null) {
      long before = written;
      stall = loop.after(limits.stallUs(), () -> stalled(before));
    }
    ByteBuffer piece = next.duplicate();
    piece.limit(Math.min(next.limit(), next.position() + PIECE));
    try {
      channel.write(piece, null, handler(loop, this::wrote,
          e -> end(new Fault(Progress.MAY_HAVE_RUN, "write failed: " + e.getMessage()), false)));
    } catch (RuntimeException e) {
      end(new Fault(Progress.MAY_HAVE_RUN, "write failed: " + e), false);
    }
  }

  /** Guards against a peer that takes nothing for a whole span while bytes wait for it. */
  private void stalled(long before) {
    stall = null;
    if (closed || queue.isEmpty()) {
      return;
    }
    if (written == before) {
      end(new Fault(Progress.NOT_SENT, "the peer takes nothing"), false);
    } else {
      long now = written;
      stall = loop.after(limits.stallUs(), () -> stalled(now));
    }
  }

  private void wrote(int count) {
    writing = false;
    if (closed) {
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
      if (closing) {
        shutOutput();
        return;
      }
    }
    flush();
    read();
  }

  private void end(Fault fault, boolean atEnd) {
    if (closed) {
      return;
    }
    closed = true;
    queue.clear();
    queued = 0;
    if (stall != null) {
      stall.cancel(false);
    }
    closeQuietly(channel);
    if (owner != null) {
      loop.execute(() -> owner.closed(fault, atEnd)); // never inside the owner's own call
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
