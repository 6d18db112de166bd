package rosecleat.fakes;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A fake uwsgi service that reads one request per connection and responds as the test demands. */
public final class FakeUwsgiService extends FakeServer {
  private static final String IDEMPOTENCY_KEY = "HTTP_IDEMPOTENCY_KEY";

  /** The reaction to a request. */
  public enum Behavior {
    /** Responds with status 200. */
    SUCCEED,
    /** Responds with status 500. */
    ERROR,
    /** Closes the connection without a response. */
    CLOSE,
    /** Sends no response and waits until the peer closes the connection. */
    HANG
  }

  /** The number of requests read. */
  public final AtomicInteger requests = new AtomicInteger();

  /** The number of connections that the peer closed while a request was held unanswered. */
  public final AtomicInteger closedByPeer = new AtomicInteger();

  public volatile Behavior behavior = Behavior.SUCCEED;

  /** The body length of responses with status 200. */
  public volatile int bytes = 10;

  /** The var block of the last request. */
  public volatile String lastPacket = "";

  /** The number of requests by idempotency key. */
  public final Map<String, Integer> runs = new ConcurrentHashMap<>();

  /** A response that is sent unchanged in place of any other; empty for none. */
  public volatile String rawResponse = "";

  @Override
  protected void serve(Socket socket) throws IOException {
    DataInputStream input = new DataInputStream(socket.getInputStream());
    String vars = readVars(input);
    lastPacket = vars;
    input.readFully(new byte[Integer.parseInt(valueOf("CONTENT_LENGTH", vars))]);
    requests.incrementAndGet();
    if (vars.contains(IDEMPOTENCY_KEY)) {
      runs.merge(valueOf(IDEMPOTENCY_KEY, vars), 1, Integer::sum);
    }
    if (!rawResponse.isEmpty()) {
      socket.getOutputStream().write(rawResponse.getBytes(StandardCharsets.ISO_8859_1));
      return;
    }
    respond(socket, input);
  }

  private static String readVars(DataInputStream input) throws IOException {
    input.readByte();
    int size = input.readUnsignedByte() | (input.readUnsignedByte() << 8);
    input.readByte();
    byte[] vars = new byte[size];
    input.readFully(vars);
    return new String(vars, StandardCharsets.ISO_8859_1);
  }

  /** Returns a var's value of less than 256 bytes; a length of two bytes precedes the value. */
  private static String valueOf(String name, String vars) {
    int start = vars.indexOf(name) + name.length() + 2;
    return vars.substring(start, start + vars.charAt(start - 2));
  }

  private void respond(Socket socket, DataInputStream input) throws IOException {
    switch (behavior) {
      case SUCCEED ->
          write(
              socket,
              "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes));
      case ERROR -> write(socket, "HTTP/1.1 500 Oops\r\n\r\n");
      case CLOSE -> {} // The server closes the connection when this method returns.
      case HANG -> {
        while (input.read() >= 0) {
          Thread.onSpinWait();
        }
        closedByPeer.incrementAndGet();
      }
      default -> throw new IllegalStateException(behavior.name());
    }
  }

  private static void write(Socket socket, String response) throws IOException {
    socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
  }
}
