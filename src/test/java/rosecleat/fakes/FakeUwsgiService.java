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
  /** What it does with a request. */
  public enum Mood {
    GOOD,
    ERROR,
    BREAKS,
    SLOW
  }

  public final AtomicInteger requests = new AtomicInteger();
  public final AtomicInteger closedOnUs = new AtomicInteger();
  public volatile Mood mood = Mood.GOOD;
  public volatile int bytes = 10;
  public volatile String lastPacket = "";

  /** How often each key was run. */
  public final Map<String, Integer> runs = new ConcurrentHashMap<>();

  /** Sent as it stands, where it is not empty. */
  public volatile String script = "";

  @Override
  protected void serve(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    in.readByte();
    int size = in.readUnsignedByte() | in.readUnsignedByte() << 8;
    in.readByte();
    byte[] block = new byte[size];
    in.readFully(block);
    String lastPacket = new String(block, StandardCharsets.ISO_8859_1);
    this.lastPacket = lastPacket;
    int at = lastPacket.indexOf("CONTENT_LENGTH") + 16; // behind the name come two bytes of length
    in.readFully(
        new byte[Integer.parseInt(lastPacket.substring(at, at + lastPacket.charAt(at - 2)))]);
    requests.incrementAndGet();
    int key = lastPacket.indexOf("HTTP_IDEMPOTENCY_KEY") + 22; // the same
    if (key > 22) {
      runs.merge(lastPacket.substring(key, key + lastPacket.charAt(key - 2)), 1, Integer::sum);
    }
    if (!script.isEmpty()) {
      socket.getOutputStream().write(script.getBytes(StandardCharsets.ISO_8859_1));
      return;
    }
    switch (mood) {
      case GOOD -> {
        socket
            .getOutputStream()
            .write(
                ("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes))
                    .getBytes(StandardCharsets.UTF_8));
      }
      case ERROR ->
          socket
              .getOutputStream()
              .write("HTTP/1.1 500 Oops\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      case BREAKS -> {} // closes without a word
      case SLOW -> {
        while (in.read() >= 0) {
          Thread.onSpinWait();
        }
        closedOnUs.incrementAndGet();
      }
    }
  }
}
