package rosecleat.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import rosecleat.core.Counters;
import rosecleat.core.Failure;
import rosecleat.log.Log;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;
import rosecleat.net.ConnectionLimits;
import rosecleat.net.ConnectionUsage;
import rosecleat.net.EventLoop;
import rosecleat.net.Listener;

/**
 * The HTTP/1.1 server for operators and health probes, which handles one request per connection.
 *
 * <p>A client that sends no request or an incomplete one occupies one of a few connections for a
 * bounded time. At the maximum, the connection that has been idle for longest is closed to accept
 * the next client. All work happens on the event loop.
 */
public final class AdminServer {
  private static final int MAX_CONNECTIONS = 12;

  /** Most file descriptors that the server uses: its connections and the listening socket. */
  public static final int MAX_DESCRIPTORS = MAX_CONNECTIONS + 1;

  /** Time from accepting a connection until its request must be complete. */
  private static final long REQUEST_TIMEOUT_US = 6_000_000;

  private static final int READ_BUFFER_BYTES = 2 << 10;
  private static final int PAUSE_READING_ABOVE_BYTES = 8 << 10;

  /** Holds the largest document and the head of its response. */
  private static final int WRITE_QUEUE_BYTES = AdminRouter.MAX_VIEW_BYTES + (1 << 20);

  private static final long WRITE_STALL_TIMEOUT_US = 5_000_000;

  private static final ConnectionLimits LIMITS =
      new ConnectionLimits(
          READ_BUFFER_BYTES, PAUSE_READING_ABOVE_BYTES, WRITE_QUEUE_BYTES, WRITE_STALL_TIMEOUT_US);

  private final EventLoop loop;
  private final AdminRouter router;
  private final Counters counters;
  private final Log log;
  private final Listener listener;

  /**
   * Binds the address and starts to accept connections.
   *
   * @throws IOException if the address cannot be bound
   */
  public AdminServer(
      EventLoop loop,
      InetSocketAddress address,
      AdminOperations operations,
      Counters counters,
      Log log)
      throws IOException {
    this.loop = loop;
    this.router = new AdminRouter(operations);
    this.counters = counters;
    this.log = log;
    listener = new Listener(loop, address, MAX_CONNECTIONS, LIMITS, this::accept);
  }

  /** Returns the local port. */
  public int port() {
    return listener.port();
  }

  private void accept(Connection connection) {
    counters.add("mgmt.connections");
    ClientConnection client = new ClientConnection(connection);
    loop.schedule(REQUEST_TIMEOUT_US, client::requestTimedOut);
    connection.start(client);
  }

  /** A client's connection and the single request on it. */
  private final class ClientConnection implements ConnectionHandler {
    private final Connection connection;
    private final HttpRequestParser parser = new HttpRequestParser();
    private boolean responded;

    ClientConnection(Connection connection) {
      this.connection = connection;
    }

    void requestTimedOut() {
      if (!responded && !connection.isClosed()) {
        counters.add("mgmt.slow");
        respond(HttpResponse.error(HttpStatus.REQUEST_TIMEOUT, "the call was not whole in time"));
      }
    }

    /**
     * Returns {@code IDLE} also for an incomplete request. The client can repeat it, so its
     * connection may be closed for another client.
     */
    @Override
    public ConnectionUsage usage() {
      return parser.hasInput() ? ConnectionUsage.IDLE : ConnectionUsage.UNUSED;
    }

    /** Handles the first request and ignores all bytes after it. */
    @Override
    public void received(ByteBuffer bytes) {
      if (!responded && parser.feed(bytes)) {
        respond(
            parser
                .error()
                .map(this::rejectMalformed)
                .orElseGet(() -> router.handle(parser.request())));
      }
    }

    private HttpResponse rejectMalformed(HttpRequestError error) {
      log.warn(
          "admin server rejected a malformed request with status "
              + error.status().code()
              + ": "
              + error);
      return HttpResponse.error(error.status(), "this is no call that can be read");
    }

    private void respond(HttpResponse response) {
      responded = true;
      counters.add("mgmt." + response.status().code());
      connection.write(response.encode());
      connection.closeGracefully();
    }

    @Override
    public void closed(Failure failure, boolean endOfStream) {
      listener.connectionClosed(connection);
    }
  }
}
