package rosecleat.front.resp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.log.Log;
import rosecleat.net.ClientMemory;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.EventLoop;
import rosecleat.net.Listener;

/**
 * The frontend for RESP2 clients, the platform's load balancers. It accepts their connections and
 * limits the resources that they use. All methods must be called on the event loop.
 */
public final class RespFrontend {
  private static final int PAUSE_READING_ABOVE_BYTES = 64 << 10;

  /** Holds the responses to the maximum number of requests in flight on a connection. */
  private static final int WRITE_QUEUE_BYTES = 256 << 10;

  private static final long WRITE_STALL_TIMEOUT_US = 5_000_000;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Core core;
  private final LongSupplier clock;
  private final Log log;
  private final ClientMemory clientMemory;
  private final Set<RespConnection> connections = new LinkedHashSet<>();
  private Listener listener;
  private int maxConnections;
  private RequestDecoder decoder;

  /**
   * Creates a frontend that does not listen yet.
   *
   * @param address the address that {@link #listen} binds; null to accept no connections
   * @param maxConnections the most connections that may be open at a time
   * @param clientMemory the memory that clients may occupy, shared with other frontends
   * @param catalog the classes and tenants that requests may refer to
   * @param clock returns the Unix time in microseconds
   */
  public RespFrontend(
      EventLoop loop,
      InetSocketAddress address,
      int maxConnections,
      ClientMemory clientMemory,
      Core core,
      RequestCatalog catalog,
      LongSupplier clock,
      Log log) {
    this.loop = loop;
    this.address = address;
    this.maxConnections = maxConnections;
    this.clientMemory = clientMemory;
    this.core = core;
    this.clock = clock;
    this.log = log;
    reconfigure(catalog);
  }

  /**
   * Starts to listen, unless the frontend already listens or has no address. Other processes of the
   * node may listen at the same address.
   *
   * @throws IOException if the address cannot be bound
   */
  public void listen() throws IOException {
    if (listener == null && address != null) {
      ConnectionLimits limits =
          new ConnectionLimits(
              clientMemory.readBufferBytes(),
              PAUSE_READING_ABOVE_BYTES,
              WRITE_QUEUE_BYTES,
              WRITE_STALL_TIMEOUT_US,
              clientMemory.readAhead(),
              clientMemory.output());
      listener = new Listener(loop, address, maxConnections, limits, this::accept, true);
    }
  }

  /**
   * Sets the most connections that may be open at a time. Connections in use beyond a lower maximum
   * stay open.
   */
  public void setMaxConnections(int newMaxConnections) {
    maxConnections = newMaxConnections;
    if (listener != null) {
      listener.setMaxConnections(maxConnections);
    }
  }

  /** Decodes requests that arrive from now on with another catalog. */
  public void reconfigure(RequestCatalog catalog) {
    decoder = new RequestDecoder(catalog);
  }

  /** Returns the local port of the listener. */
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
   * Closes the listener once no connection has been accepted for a given time and the backlog is
   * empty. Must be called repeatedly until it returns true.
   *
   * @param quietUs the time without a new connection, in microseconds
   * @return whether the listener is closed
   */
  public boolean closeListenerWhenQuiet(long quietUs) {
    return listener == null || listener.closeAfterQuietPeriod(quietUs);
  }

  /**
   * Closes the listener once its backlog is empty. Must be called repeatedly until it returns true.
   *
   * @return whether the listener is closed
   */
  public boolean closeListenerWhenEmpty() {
    return listener == null || listener.closeWhenBacklogEmpty();
  }

  /** Closes each connection once its requests are answered; incomplete messages are dropped. */
  public void closeConnections() {
    new ArrayList<>(connections).forEach(RespConnection::closeGracefully);
  }

  /**
   * Asks the clients of idle connections to close them, and closes connections whose timeouts have
   * expired.
   *
   * @param draining whether all clients are asked to close their connections
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

  ClientMemory clientMemory() {
    return clientMemory;
  }

  /** Returns the current decoder, which a reload replaces. */
  RequestDecoder decoder() {
    return decoder;
  }

  /** Removes a connection that has ended. */
  void connectionClosed(RespConnection closed) {
    connections.remove(closed);
    listener.connectionClosed(closed.connection());
  }
}
