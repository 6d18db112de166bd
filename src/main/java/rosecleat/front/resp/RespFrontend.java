package rosecleat.front.resp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.log.Log;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.EventLoop;
import rosecleat.net.Listener;

/**
 * The frontend for clients that speak RESP2, the platform's load balancers: accepts their
 * connections and bounds what they use. Everything runs on the event loop.
 */
public final class RespFrontend {
  private static final int MIN_READ_BUFFER_BYTES = 1 << 10;
  private static final int MAX_READ_BUFFER_BYTES = 8 << 10;

  /** The part of the heap that the read buffers of all connections may take together: 1/8. */
  private static final int READ_BUFFERS_HEAP_DIVISOR = 8;

  private static final int PAUSE_READING_ABOVE_BYTES = 64 << 10;

  /** Holds the responses to as many requests as may be in flight on a connection. */
  private static final int WRITE_QUEUE_BYTES = 256 << 10;

  private static final long WRITE_STALL_TIMEOUT_US = 5_000_000;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Core core;
  private final LongSupplier clock;
  private final Log log;
  private final Set<RespConnection> connections = new LinkedHashSet<>();
  private Listener listener;
  private int maxConnections;
  private RequestDecoder decoder;

  /**
   * Creates a frontend that does not listen yet.
   *
   * @param address where {@link #listen} listens; null for nowhere
   * @param maxConnections connections that may be open at a time
   * @param catalog what requests may name
   * @param clock the Unix time in microseconds
   */
  public RespFrontend(
      EventLoop loop,
      InetSocketAddress address,
      int maxConnections,
      Core core,
      RequestCatalog catalog,
      LongSupplier clock,
      Log log) {
    this.loop = loop;
    this.address = address;
    this.maxConnections = maxConnections;
    this.core = core;
    this.clock = clock;
    this.log = log;
    reconfigure(catalog);
  }

  /**
   * Starts to listen, unless it already does or has no address. Other processes of the node may
   * listen at the same address.
   *
   * @throws IOException where the address cannot be bound
   */
  public void listen() throws IOException {
    if (listener == null && address != null) {
      ConnectionLimits limits = connectionLimits(Runtime.getRuntime().maxMemory(), maxConnections);
      listener = new Listener(loop, address, maxConnections, limits, this::accept, true);
    }
  }

  /**
   * Returns the limits of each connection. The read buffers shrink with the number of connections,
   * since those of a node with many descriptors could otherwise fill a small heap.
   */
  static ConnectionLimits connectionLimits(long heapBytes, int maxConnections) {
    long perConnection = heapBytes / READ_BUFFERS_HEAP_DIVISOR / Math.max(1, maxConnections);
    long readBufferBytes =
        Math.max(MIN_READ_BUFFER_BYTES, Math.min(MAX_READ_BUFFER_BYTES, perConnection));
    return new ConnectionLimits(
        (int) readBufferBytes,
        PAUSE_READING_ABOVE_BYTES,
        WRITE_QUEUE_BYTES,
        WRITE_STALL_TIMEOUT_US);
  }

  /** Sets how many connections may be open; those beyond it that are in use stay open. */
  public void setMaxConnections(int newMaxConnections) {
    maxConnections = newMaxConnections;
    if (listener != null) {
      listener.setMaxConnections(newMaxConnections);
    }
  }

  /** Decodes the requests that arrive from now on by another catalog. */
  public void reconfigure(RequestCatalog catalog) {
    decoder = new RequestDecoder(catalog);
  }

  /** Returns the port it listens on. */
  public int port() {
    return listener.port();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return connections.size();
  }

  /** Returns the number of connections on which part of a message has been received. */
  int connectionsMidMessage() {
    return (int) connections.stream().filter(RespConnection::isMidMessage).count();
  }

  /**
   * Stops listening once no connection has come for a while and none waits to be accepted.
   *
   * @param quietUs how long no connection must have come, in microseconds
   * @return whether it no longer listens
   */
  public boolean closeListenerWhenQuiet(long quietUs) {
    return listener == null || listener.closeAfterQuietPeriod(quietUs);
  }

  /**
   * Stops listening as soon as no connection waits to be accepted.
   *
   * @return whether it no longer listens
   */
  public boolean closeListenerWhenEmpty() {
    return listener == null || listener.closeWhenBacklogEmpty();
  }

  /** Closes every connection once its requests are answered; incomplete messages are dropped. */
  public void closeConnections() {
    new ArrayList<>(connections).forEach(RespConnection::closeGracefully);
  }

  /**
   * Closes the connections that have been idle or incomplete for too long, after asking their
   * clients to.
   *
   * @param draining whether the clients of all connections are asked to close them
   */
  public void closeIdleConnections(boolean draining) {
    long nowUs = clock.getAsLong();
    long idleTimeoutUs = core.idleTimeoutUs();
    for (RespConnection connection : new ArrayList<>(connections)) {
      connection.checkTimeouts(nowUs, idleTimeoutUs, draining);
    }
  }

  private void accept(Connection connection) {
    RespConnection accepted = new RespConnection(this, connection, core, clock, log);
    connections.add(accepted);
    core.counters().add("resp.connections");
    connection.start(accepted);
  }

  /** Returns the decoder in force, which a reload replaces. */
  RequestDecoder decoder() {
    return decoder;
  }

  /** Forgets a connection that has ended. */
  void connectionClosed(RespConnection closed) {
    connections.remove(closed);
    listener.connectionClosed(closed.connection());
  }
}
