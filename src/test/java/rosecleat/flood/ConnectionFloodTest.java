package rosecleat.flood;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.fakes.RespClient;

/** One client that sends small requests at full speed on one connection, beside others. */
class ConnectionFloodTest {
  private static final int FEW_UWSGI_CONNECTIONS = 16;
  private static final long FLOOD_MS = 5_000;
  private static final int REQUESTS_PER_WRITE = 200;

  /** Least number of requests that make a flood. */
  private static final int MIN_REQUESTS = 20_000;

  @TempDir Path folder;

  private int sent;

  /**
   * Guards the heap against what is remembered of callers: each request has another number of its
   * balancer, and is withdrawn at once so that any number of them fits on the connection.
   */
  @Test
  void requestsOfEverNewCallersHarmNoOtherClient() throws Exception {
    try (DeployedNode node = DeployedNode.start(folder, 96, FEW_UWSGI_CONNECTIONS)) {
      IncompleteInputFloodTest.flood(node, durationMs -> floodWithdrawn(node.respPort));
      assertTrue(sent >= MIN_REQUESTS, sent + " requests sent");
    }
  }

  private void floodWithdrawn(int port) throws IOException {
    long untilMs = System.currentTimeMillis() + FLOOD_MS;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      Thread reader = new Thread(() -> discardInput(socket), "flooding client's reader");
      reader.setDaemon(true);
      reader.start();
      while (System.currentTimeMillis() < untilMs) {
        socket.getOutputStream().write(nextRequests());
      }
    }
  }

  private byte[] nextRequests() {
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
      sent++;
      String fields =
          RespClient.fields("%016x".formatted(0x7L << 40 | sent), "aspen-dining", 5_000, null)
              .replace("from=1", "from=" + (100 + sent));
      requests.append(text(RespClient.array("DO", sent, "balance-check", fields)));
      requests.append(text(RespClient.array("UNDO", sent)));
    }
    return requests.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private static void discardInput(Socket socket) {
    try (InputStream input = socket.getInputStream()) {
      input.transferTo(OutputStream.nullOutputStream());
    } catch (IOException e) {
      return; // the flood has ended
    }
  }
}
