package rosecleat.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rosecleat.fakes.Await;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;

/**
 * The process ended a fifth of a second after {@code stop_ms} where clients kept their connections,
 * so that the platform's SIGKILL came first and what is stored and logged at the end was lost. The
 * node itself had finished 0.15 s before that time: the rest went into the end of the virtual
 * machine, which waits up to 0.3 s for threads in system calls, as the one that waits for sockets
 * is.
 *
 * <p>The bound is the operators': the process ends by itself before SIGKILL comes, {@code stop_ms}
 * after SIGTERM.
 */
class ProcessExitTest {
  private static final int CLIENTS = 6;
  private static final int DESCRIPTORS = 256;

  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(ints = {1_500, 2_000})
  void processEndsBeforeItIsKilledThoughClientsKeepTheirConnections(int stopMs) throws Exception {
    try (FakeRuntime runtime = new FakeRuntime(5);
        ServeProcess node = start(runtime, stopMs)) {
      List<Thread> clients = startClients(portOf(node));
      Await.until(() -> runtime.starts.size() > CLIENTS);
      assertEndsBeforeKill(node, stopMs);
      for (Thread client : clients) {
        client.join();
      }
    }
  }

  @Test
  void processEndsBeforeItIsKilledThoughNobodyClosesIdleConnections() throws Exception {
    int stopMs = 1_500;
    try (FakeRuntime runtime = new FakeRuntime(5);
        ServeProcess node = start(runtime, stopMs);
        RespClient idle = new RespClient(portOf(node), null)) {
      idle.send(RespClient.array("PING", 1, ""));
      assertEquals("UP", idle.answer().get(1));
      assertEndsBeforeKill(node, stopMs);
    }
  }

  private ServeProcess start(FakeRuntime runtime, int stopMs) throws IOException {
    int port = ServeProcess.freePort();
    String config =
        TestSite.config(runtime.port(), 0, 0, stopMs, 500)
            .source()
            .toString()
            .replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"")
            .replace("\"sockets\":1024", "\"sockets\":" + DESCRIPTORS);
    ServeProcess node = ServeProcess.start(folder, "node", config, DESCRIPTORS);
    Await.until(() -> node.log().contains("listens on") && node.log().contains("runtime is ready"));
    return node;
  }

  private static int portOf(ServeProcess node) {
    String line = node.log().lines().filter(each -> each.contains("listens on")).findFirst().get();
    return Integer.parseInt(line.strip().replaceAll(".*:", ""));
  }

  /**
   * Clients that send request after request until their connection ends, whatever they are told.
   */
  private static List<Thread> startClients(int port) {
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int caller = i;
      Thread client = new Thread(() -> sendUntilClosed(port, caller));
      client.setDaemon(true);
      client.start();
      clients.add(client);
    }
    return clients;
  }

  private static void sendUntilClosed(int port, int caller) {
    try (RespClient client = new RespClient(port, null)) {
      List<String> answer = List.of();
      for (int tag = 1; answer != null; tag++) {
        String id = String.format("%08x%08x", caller + 1, tag);
        client.send(
            RespClient.array(
                "DO", tag, "balance-check", RespClient.fields(id, "small", 1_100, null), "b"));
        answer = client.answer();
      }
    } catch (IOException e) {
      // the connection ended: this client is done
    }
  }

  private static void assertEndsBeforeKill(ServeProcess node, int stopMs) throws Exception {
    long signalledNs = System.nanoTime();
    node.terminate();
    boolean ended = node.awaitExit(TimeUnit.MILLISECONDS.toNanos(stopMs));
    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledNs);
    if (!ended) {
      node.awaitExit(TimeUnit.SECONDS.toNanos(10));
      tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledNs);
    }
    assertTrue(ended, "it ended after " + tookMs + " ms\n" + node.log());
    assertEquals(0, node.exitCode());
  }
}
