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

/** One client that sends small requests at full speed on one connection, beside others. */
class ConnectionFloodTest {
  private static final int FEW_UWSGI_CONNECTIONS = 16;
  private static final long FLOOD_MS = 5_000;
  private static final int REQUESTS_PER_WRITE = 200;

  /** Least number of requests that make a flood. */
  private static final int MIN_REQUESTS = 50_000;

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

  private void floodWithdrawn(int port) {
    long untilMs = System.currentTimeMillis() + FLOOD_MS;
    while (System.currentTimeMillis() < untilMs) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        Thread reader = new Thread(() -> discardInput(socket), "flooding client's reader");
        reader.setDaemon(true);
        reader.start();
        while (System.currentTimeMillis() < untilMs) {
          socket.getOutputStream().write(nextRequests());
        }
      } catch (IOException e) {
        sent++; // the node has closed the connection, so the flood goes on with another one
      }
    }
  }

  private byte[] nextRequests() {
    StringBuilder requests = new StringBuilder();
    long nowMs = System.currentTimeMillis();
    for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
      sent++;
      String id = Long.toHexString(0x7L << 60 | sent);
      String fields =
          "id="
              + id
              + ",at="
              + nowMs
              + ",from="
              + (100 + sent)
              + ",tenant=aspen-dining,wait=5000,kb=10.5,rank=0.5000";
      append(requests, "DO", Integer.toString(sent), "balance-check", fields);
      append(requests, "UNDO", Integer.toString(sent));
    }
    return requests.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void append(StringBuilder requests, String... words) {
    requests.append('*').append(words.length).append("\r\n");
    for (String word : words) {
      requests.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
  }

  private static void discardInput(Socket socket) {
    try (InputStream input = socket.getInputStream()) {
      input.transferTo(OutputStream.nullOutputStream());
    } catch (IOException e) {
      return; // the flood has ended
    }
  }
}
