package rosecleat.fakes;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A team's uwsgi service: reads a request, then does what the test says. */
public final class FakeUwsgiService extends FakeServer {
  private static final String IDEMPOTENCY_KEY = "HTTP_IDEMPOTENCY_KEY";

  /** What it does with a request. */
  public enum Behavior {
    SUCCEED,
    ERROR,
    CLOSE,
    HANG
  }

  public final AtomicInteger requests = new AtomicInteger();
  public final AtomicInteger closedByPeer = new AtomicInteger();
  public volatile Behavior behavior = Behavior.SUCCEED;
  public volatile int bytes = 10;
  public volatile String lastPacket = "";

  /** How often each key was run. */
  public final Map<String, Integer> runs = new ConcurrentHashMap<>();

  /** Sent as it stands, where it is not empty. */
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

  /** The value of a var of under 256 bytes: behind the name stand two bytes of its length. */
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
      case CLOSE -> {} // closes without a response
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
