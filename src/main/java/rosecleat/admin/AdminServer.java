package rosecleat.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import rosecleat.core.Counters;
import rosecleat.core.Fault;
import rosecleat.log.Log;
import rosecleat.net.Connection;
import rosecleat.net.EventLoop;
import rosecleat.net.Listener;

/**
 * The operators' listening address: HTTP/1.1, one call a connection. A caller that says nothing, or
 * not all, takes one of few places for a bounded time and holds nobody up; where places run out the
 * longest silent one goes.
 */
public final class AdminServer {
  /** Callers at a time; with the listening socket, the descriptors that the door may take. */
  private static final int PLACES = 12;

  /** The descriptors to reserve for a door. */
  public static final int SOCKETS = PLACES + 1;

  /** A call must be whole so long after its caller connected (us). */
  private static final long PATIENCE_US = 6_000_000;

  private static final Connection.Limits LIMITS =
      new Connection.Limits(2 << 10, 8 << 10, 33 << 20, 5_000_000);

  /** A view takes so many bytes at the most. */
  private static final int LONGEST_VIEW = 32 << 20;

  private static final Map<Integer, String> REASONS =
      Map.of(
          200,
          "OK",
          400,
          "Bad Request",
          404,
          "Not Found",
          405,
          "Method Not Allowed",
          408,
          "Request Timeout",
          413,
          "Content Too Large",
          431,
          "Request Header Fields Too Large",
          501,
          "Not Implemented",
          503,
          "Service Unavailable",
          505,
          "HTTP Version Not Supported");

  private final EventLoop loop;
  private final AdminOperations operations;
  private final Counters counters;
  private final Log log;
  private final Listener listener;

  /** Listens at an address. */
  public AdminServer(
      EventLoop loop, InetSocketAddress at, AdminOperations operations, Counters counters, Log log)
      throws IOException {
    this.loop = loop;
    this.operations = operations;
    this.counters = counters;
    this.log = log;
    listener =
        new Listener(
            loop, at, PLACES, LIMITS, connection -> connection.start(new Caller(connection)));
  }

  /** The port it listens on. */
  public int port() {
    return listener.port();
  }

  /** What a call is answered. */
  private record Reply(int status, String body, String allow) {
    Reply(int status, String body) {
      this(status, body, null);
    }

    ByteBuffer bytes() {
      String head =
          "HTTP/1.1 "
              + status
              + " "
              + REASONS.get(status)
              + "\r\nContent-Type: application/json\r\n"
              + (allow == null ? "" : "Allow: " + allow + "\r\n")
              + "Content-Length: "
              + body.length()
              + "\r\nConnection: close\r\n\r\n";
      return ByteBuffer.wrap((head + body).getBytes(StandardCharsets.US_ASCII));
    }
  }

  private Reply reply(HttpCall call) {
    if (call.wrong() != 0) {
      return new Reply(call.wrong(), "{\"error\":\"this is no call that can be read\"}");
    }
    return switch (call.target()) {
      case "/v1/readyz" ->
          !call.method().equals("GET")
              ? notAllowed("GET")
              : operations.isReady()
                  ? new Reply(200, "{\"ready\":true}")
                  : new Reply(503, "{\"ready\":false}");
      case "/v1/card-node/drain" -> told(call, operations::drain, "{\"clients\":\"sent away\"}");
      case "/v1/card-node/activate" -> told(call, operations::activate, "{\"clients\":\"taken\"}");
      default -> seen(call);
    };
  }

  private Reply seen(HttpCall call) {
    String body = operations.view(call.target()).orElse(null);
    return body == null
        ? new Reply(404, "{\"error\":\"no such path\"}")
        : !call.method().equals("GET")
            ? notAllowed("GET")
            : body.length() > LONGEST_VIEW
                ? new Reply(503, "{\"error\":\"too much to be told in one answer\"}")
                : new Reply(200, body);
  }

  private static Reply told(HttpCall call, Runnable what, String body) {
    if (!call.method().equals("PUT")) {
      return notAllowed("PUT");
    }
    what.run();
    return new Reply(200, body);
  }

  private static Reply notAllowed(String method) {
    return new Reply(405, "{\"error\":\"not by this method\"}", method);
  }

  /** One caller. */
  private final class Caller implements Connection.Owner {
    private final Connection connection;
    private final HttpCall call = new HttpCall();
    private boolean answered;

    Caller(Connection connection) {
      this.connection = connection;
      counters.add("mgmt.connections");
      loop.schedule(
          PATIENCE_US,
          () -> {
            if (!answered && !connection.isClosed()) {
              counters.add("mgmt.slow");
              answer(new Reply(408, "{\"error\":\"the call was not whole in time\"}"));
            }
          });
    }

    /** Whoever has not sent a whole call loses least when places run out. */
    @Override
    public Connection.Use use() {
      return call.begun() ? Connection.Use.IDLE : Connection.Use.SILENT;
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (!answered && call.take(bytes)) { // what comes behind a call is no part of it
        answer(reply(call));
      }
    }

    private void answer(Reply reply) {
      answered = true;
      counters.add("mgmt." + reply.status);
      if (call.wrong() != 0) {
        log.warn("a call to the operators' door can't be read: " + reply.status);
      }
      connection.write(reply.bytes());
      connection.closeGracefully();
    }

    @Override
    public void closed(Fault fault, boolean atEnd) {
      listener.released(connection);
    }
  }
}
