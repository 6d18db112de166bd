package rosecleat.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import rosecleat.log.Log;

/**
 * A listening socket that accepts connections up to a maximum. A failed accept is retried after a
 * short delay and never ends the listening. At the maximum, connections that carry nothing are
 * closed to make room, and the rest wait unaccepted in the system's backlog.
 *
 * <p>Everything but the bare completion handler runs on the loop.
 */
public final class Listener {
  private static final int BACKLOG = 1024;
  private static final long ACCEPT_RETRY_DELAY_US = 20_000;

  /** An accept that has been pending for so long found the backlog empty (ns). */
  private static final long BACKLOG_EMPTY_AFTER_NS = 5_000_000;

  private final EventLoop loop;
  private final AsynchronousServerSocketChannel server;
  private final ConnectionLimits limits;
  private final Consumer<Connection> acceptHandler;
  private final Log log;
  private final IdleConnectionEvictor evictor = new IdleConnectionEvictor();
  private final Set<Connection> open = new LinkedHashSet<>();
  private int maxConnections;
  private boolean pausedAtMaximum;
  private boolean evictionScheduled;
  private boolean closing;
  private boolean closed;

  /** Set on the thread of the channels when an accept completes, until the loop has handled it. */
  private volatile boolean acceptCompleted;

  private long acceptStartedNs;
  private long lastAcceptedNs = System.nanoTime();

  /**
   * Listens at an address.
   *
   * @param maxConnections the most connections that are open at a time
   * @param acceptHandler is given each connection, on the loop, and must start it; it reports the
   *     end of each to {@link #connectionClosed}
   * @throws IOException where the address can't be bound
   */
  public Listener(
      EventLoop loop,
      InetSocketAddress address,
      int maxConnections,
      ConnectionLimits limits,
      Consumer<Connection> acceptHandler)
      throws IOException {
    this(loop, address, maxConnections, limits, acceptHandler, false);
  }

  /**
   * Listens at an address that several processes may share.
   *
   * @param reusePort whether another process may listen at the address too, and accept some of the
   *     connections
   * @throws IOException where the address can't be bound
   */
  public Listener(
      EventLoop loop,
      InetSocketAddress address,
      int maxConnections,
      ConnectionLimits limits,
      Consumer<Connection> acceptHandler,
      boolean reusePort)
      throws IOException {
    this.loop = loop;
    this.limits = limits;
    this.acceptHandler = acceptHandler;
    this.maxConnections = maxConnections;
    log = loop.log();
    server = AsynchronousServerSocketChannel.open(loop.group());
    try {
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      if (reusePort) {
        server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
      }
      server.bind(address, BACKLOG);
    } catch (IOException | RuntimeException e) {
      Connection.closeQuietly(server);
      throw e;
    }
    loop.execute(this::accept);
  }

  /** Returns the local port, -1 once the listener is closed. */
  public int port() {
    try {
      return ((InetSocketAddress) server.getLocalAddress()).getPort();
    } catch (IOException e) {
      return -1;
    }
  }

  /** Frees the place of a connection accepted here that has ended. */
  public void connectionClosed(Connection connection) {
    open.remove(connection);
    resumeBelowMaximum();
  }

  /** Sets the most connections open at a time; those in use beyond a lower maximum stay. */
  public void setMaxConnections(int newMaximum) {
    maxConnections = newMaximum;
    resumeBelowMaximum();
  }

  private void resumeBelowMaximum() {
    if (pausedAtMaximum && open.size() < maxConnections) {
      pausedAtMaximum = false;
      accept();
    }
  }

  /**
   * Goes on accepting until the backlog is empty, and closes at that instant: connections in the
   * backlog of a socket that closes are reset, while later ones go to others that listen at the
   * address. To be called again until it returns true.
   *
   * @return whether the listener is closed
   */
  public boolean closeWhenBacklogEmpty() {
    closing = true;
    if (!closed
        && !pausedAtMaximum
        && !acceptCompleted
        && System.nanoTime() - acceptStartedNs > BACKLOG_EMPTY_AFTER_NS) {
      close();
    }
    return closed;
  }

  /**
   * Does the same as {@link #closeWhenBacklogEmpty}, begun once no connection has come for {@code
   * quietUs} microseconds: closing would reset connections that the system has accepted and this
   * process has not, with what they bring.
   *
   * @return whether the listener is closed
   */
  public boolean closeAfterQuietPeriod(long quietUs) {
    return (closed || closing || (System.nanoTime() - lastAcceptedNs) / 1_000 >= quietUs)
        && closeWhenBacklogEmpty();
  }

  private void close() {
    closed = true;
    Connection.closeQuietly(server);
  }

  private void accept() {
    if (closed) {
      return;
    }
    if (open.size() >= maxConnections) {
      pauseAtMaximum();
    } else if (closing) {
      acceptBacklogAndClose();
    } else {
      acceptNext();
    }
  }

  /** Bounds the use of descriptors: further connections wait in the backlog. */
  private void pauseAtMaximum() {
    pausedAtMaximum = true;
    evictor.recordDemand(maxConnections);
    if (!evictor.evict(open)) {
      log.warn(open.size() + " connections are open and in use, no more are accepted");
    }
    scheduleEviction();
  }

  /** Retries while the maximum is reached: connections become idle, and some never close. */
  private void scheduleEviction() {
    if (evictionScheduled) {
      return;
    }
    evictionScheduled = true;
    loop.schedule(
        evictor.retryDelayUs(),
        () -> {
          evictionScheduled = false;
          if (pausedAtMaximum && !closed) {
            evictor.evict(open);
            scheduleEviction();
          }
        });
  }

  private void acceptNext() {
    acceptStartedNs = System.nanoTime();
    try {
      server.accept(null, new AcceptCompletionHandler());
    } catch (RuntimeException e) {
      retryAccept(e);
    }
  }

  /** Marks the completion before it posts it, so that the listener is not closed in between. */
  private final class AcceptCompletionHandler
      extends LoopCompletionHandler<AsynchronousSocketChannel> {
    AcceptCompletionHandler() {
      super(loop, Listener.this::accepted, Listener.this::retryAccept);
    }

    @Override
    public void completed(AsynchronousSocketChannel channel, Void unused) {
      acceptCompleted = true;
      super.completed(channel, null);
    }
  }

  private void accepted(AsynchronousSocketChannel channel) {
    acceptCompleted = false;
    handOver(channel);
    accept();
  }

  /** Accepts the whole backlog, and closes at the instant at which it is empty. */
  private void acceptBacklogAndClose() {
    try {
      while (open.size() < maxConnections) {
        Future<AsynchronousSocketChannel> next = server.accept();
        boolean backlogEmpty = !next.isDone();
        if (backlogEmpty) {
          close();
        }
        if (next.isDone()) { // also one that came just before the close
          handOver(next.get());
        }
        if (backlogEmpty) {
          return;
        }
      }
      pausedAtMaximum = true;
    } catch (ExecutionException | RuntimeException e) {
      close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void handOver(AsynchronousSocketChannel channel) {
    lastAcceptedNs = System.nanoTime();
    Connection connection = new Connection(loop, channel, limits);
    open.add(connection);
    try {
      acceptHandler.accept(connection);
    } catch (RuntimeException e) {
      log.warn("a connection could not be taken: " + e);
      connection.abort("it could not be taken");
      open.remove(connection);
    }
  }

  private void retryAccept(Throwable cause) {
    if (!closed) {
      log.warn("accept failed: " + cause.getMessage());
      loop.schedule(ACCEPT_RETRY_DELAY_US, this::accept);
    }
  }
}
