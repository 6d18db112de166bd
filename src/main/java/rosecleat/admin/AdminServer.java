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
 * The listening address for operators and probes: HTTP/1.1, one request a connection.
 *
 * <p>A client that sends nothing, or an incomplete request, holds one of few connections for a
 * bounded time; when all are taken, the one that has been silent for longest is closed for the next
 * client. All work happens on the event loop.
 */
public final class AdminServer {
  private static final int MAX_CONNECTIONS = 12;

  /** File descriptors that the server may use: its connections and the listening socket. */
  public static final int MAX_DESCRIPTORS = MAX_CONNECTIONS + 1;

  /** A request must be complete this long after its connection was accepted. */
  private static final long REQUEST_TIMEOUT_US = 6_000_000;

  private static final int READ_BUFFER_BYTES = 2 << 10;
  private static final int PAUSE_READING_ABOVE_BYTES = 8 << 10;

  /** The largest view with the head of its response. */
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
   * Starts to listen.
   *
   * @throws IOException where the address cannot be bound
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

  /** Returns the port it listens on. */
  public int port() {
    return listener.port();
  }

  private void accept(Connection connection) {
    counters.add("mgmt.connections");
    ClientConnection client = new ClientConnection(connection);
    loop.schedule(REQUEST_TIMEOUT_US, client::requestTimedOut);
    connection.start(client);
  }

  /** One connection with its one request. */
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

    /** An incomplete request can be repeated, so its connection may be closed for another one. */
    @Override
    public ConnectionUsage usage() {
      return parser.hasInput() ? ConnectionUsage.IDLE : ConnectionUsage.UNUSED;
    }

    /** Ignores whatever follows the first request. */
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
      log.warn("a call to the operators' door can't be read: " + error.status().code());
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
