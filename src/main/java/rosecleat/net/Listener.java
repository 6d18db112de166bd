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
 * short delay and never closes the socket. At the maximum, connections that carry no request are
 * closed to free slots, and further connections wait in the operating system's backlog.
 *
 * <p>All methods run on the event loop; the completion handler of the channel only posts to it.
 */
public final class Listener {
  private static final int BACKLOG = 1024;
  private static final long ACCEPT_RETRY_DELAY_US = 20_000;

  /** An accept that has been pending for longer than this has found the backlog empty. */
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

  /** Set on the I/O thread when an accept completes, and cleared when the loop has handled it. */
  private volatile boolean acceptCompleted;

  private long acceptStartedNs;
  private long lastAcceptedNs = System.nanoTime();

  /**
   * Binds a socket to an address and starts to accept connections.
   *
   * @param maxConnections the most connections that may be open at a time
   * @param acceptHandler receives each connection on the loop; must start it and report its end to
   *     {@link #connectionClosed}
   * @throws IOException if the address can't be bound
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
   * Binds a socket to an address that several processes may share, and starts to accept
   * connections.
   *
   * @param reusePort whether other processes may listen at the same address and accept a part of
   *     the connections ({@code SO_REUSEPORT})
   * @throws IOException if the address can't be bound
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

  /** Returns the local port, or -1 once the listener is closed. */
  public int port() {
    try {
      return ((InetSocketAddress) server.getLocalAddress()).getPort();
    } catch (IOException e) {
      return -1;
    }
  }

  /** Frees the slot of a connection that this listener accepted and that has ended. */
  public void connectionClosed(Connection connection) {
    open.remove(connection);
    resumeBelowMaximum();
  }

  /**
   * Sets the most connections that may be open at a time. Connections in use beyond a lower maximum
   * stay open.
   */
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
   * Closes the listener at an instant at which its backlog is empty, and accepts connections until
   * then. Closing a socket resets the connections in its backlog, whereas later connections go to
   * other processes that listen at the address. Must be called repeatedly until it returns true.
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
   * Waits until no connection has been accepted for {@code quietUs} microseconds and then does the
   * same as {@link #closeWhenBacklogEmpty}. Closing earlier would reset connections, with the
   * requests on them, that the operating system has accepted and this process has not.
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

  /** Stops accepting at the maximum, which bounds file descriptors, and tries to free slots. */
  private void pauseAtMaximum() {
    pausedAtMaximum = true;
    evictor.recordDemand(maxConnections);
    if (!evictor.evict(open)) {
      log.warn(
          "listener accepts no more connections: "
              + open.size()
              + " are open and in use, maximum "
              + maxConnections);
    }
    scheduleEviction();
  }

  /**
   * Retries the eviction while the listener is at its maximum, since connections become idle later
   * and some peers never close theirs.
   */
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

  /**
   * Sets {@link #acceptCompleted} before it posts the result, so that the listener is not closed
   * while the result is queued on the loop.
   */
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

  /** Accepts all connections in the backlog and closes the listener as soon as it is empty. */
  private void acceptBacklogAndClose() {
    try {
      while (open.size() < maxConnections) {
        Future<AsynchronousSocketChannel> next = server.accept();
        boolean backlogEmpty = !next.isDone();
        if (backlogEmpty) {
          close();
        }
        if (next.isDone()) { // may also have completed just before the close
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
      log.warn("accepted connection could not be handled and is closed: " + e);
      connection.abort("it could not be taken");
      open.remove(connection);
    }
  }

  private void retryAccept(Throwable cause) {
    if (!closed) {
      log.warn(
          "accept failed, next attempt in "
              + ACCEPT_RETRY_DELAY_US / 1_000
              + " ms: "
              + cause.getMessage());
      loop.schedule(ACCEPT_RETRY_DELAY_US, this::accept);
    }
  }
}
