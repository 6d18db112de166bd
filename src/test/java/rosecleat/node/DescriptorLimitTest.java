package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rosecleat.fakes.FakeIndex;
import rosecleat.fakes.FakeRegistry;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.harness.ServeProcess;

/**
 * A process whose file descriptors the operating system limits, with clients that open as many
 * connections as they can and stay idle.
 */
class DescriptorLimitTest {
  @TempDir Path folder;
  private final List<Socket> idle = new ArrayList<>();
  private ServeProcess process;
  private int tag;

  private ServeProcess process(int descriptors, int runtime, int index, int registry, int listen)
      throws IOException {
    String config =
        TestSite.config(runtime, index, registry, 2_000, 500)
            .source()
            .toString()
            .replace("127.0.0.1:0\"", "127.0.0.1:" + listen + "\"")
            .replace("\"sockets\":1024", "\"sockets\":" + descriptors);
    return ServeProcess.start(folder, "node", config, descriptors);
  }

  private String log() {
    return process.log();
  }

  private void await(String what, BooleanSupplier condition) throws InterruptedException {
    for (long end = System.nanoTime() + 20_000_000_000L; !condition.getAsBoolean(); ) {
      assertTrue(System.nanoTime() < end, what + "\n" + log());
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  private String answer(RespClient client, String className) throws IOException {
    String id = String.format("%016x", ++tag);
    client.send(
        RespClient.array("DO", tag, className, RespClient.fields(id, "small", 1_100, null), "b"));
    List<String> words = client.answer();
    return words == null ? "closed" : words.get(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {64, 200})
  void idleClientsDoNotStarveRuntimeIndexAndRegistry(int descriptors) throws Exception {
    int listen = ServeProcess.freePort();
    try (FakeRuntime runtime = new FakeRuntime(5);
        FakeIndex index = new FakeIndex();
        FakeRegistry registry = new FakeRegistry()) {
      int registryPort = registry.port();
      registry.down(); // the registry is unavailable before the start
      process = process(descriptors, runtime.port(), index.port(), registryPort, listen);
      await(
          "node does not listen",
          () -> log().contains("listens on") && log().contains("runtime is ready"));
      openIdleConnections(2 * descriptors, listen);
      try (RespClient balancer = new RespClient(listen, null)) {
        assertEquals("OK", answer(balancer, "balance-check"));
        assertEquals("OK", answer(balancer, "card-refresh"));
        assertEquals(1, index.lines.size(), "number of calls to the index");
        runtime.cut();
        assertEquals("OK", answer(balancer, "balance-check"));
        registry.up();
        long recoveredAtNs = System.nanoTime();
        await("node is not reported to the registry again", () -> !registry.reports.isEmpty());
        assertTrue(
            System.nanoTime() - recoveredAtNs < 1_000_000_000L,
            "reported again after more than 1 s");
        assertEquals("OK", answer(balancer, "card-refresh"));
      }
      assertFalse(log().contains("Too many open files") || log().contains("no socket"), log());
    } finally {
      if (process != null) {
        process.close();
      }
      for (Socket socket : idle) {
        socket.close();
      }
    }
  }

  /**
   * A request behind idle clients waited unread for half a second and more, until it was rejected
   * as late: each wave of evictions freed at most a quarter of the connections, and waited for the
   * poll after the time in which bytes may be in flight. The bound is the latency objective of the
   * request's class. Eight times as many idle clients as the maximum number of connections connect
   * before it.
   */
  @ParameterizedTest
  @ValueSource(ints = {64, 200})
  void requestBehindIdleClientsIsAnsweredWithinItsObjective(int descriptors) throws Exception {
    int listen = ServeProcess.freePort();
    try (FakeRuntime runtime = new FakeRuntime(5);
        FakeIndex index = new FakeIndex();
        FakeRegistry registry = new FakeRegistry()) {
      process = process(descriptors, runtime.port(), index.port(), registry.port(), listen);
      await(
          "node does not listen",
          () -> log().contains("listens on") && log().contains("runtime is ready"));
      int maxConnections =
          DescriptorBudget.of(descriptors, 0, TestSite.CALLS_OUT, false).balancers();
      openIdleConnections(8 * maxConnections, listen);
      long sentNs = System.nanoTime();
      try (RespClient balancer = new RespClient(listen, null)) {
        String word = answer(balancer, "balance-check");
        long waitedMs = (System.nanoTime() - sentNs) / 1_000_000;
        assertEquals("OK", word, "after " + waitedMs + " ms");
        assertTrue(waitedMs < TestSite.OBJECTIVE_MS, "answered after " + waitedMs + " ms");
      }
    } finally {
      if (process != null) {
        process.close();
      }
      for (Socket socket : idle) {
        socket.close();
      }
    }
  }

  /** Opens connections of clients that never close them, even when asked to. */
  private void openIdleConnections(int count, int port) throws IOException {
    for (int i = 0; i < count; i++) {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
      idle.add(socket);
      if (i % 2 == 0) {
        socket.getOutputStream().write(RespClient.array("PING", 1, ""));
      }
    }
  }
}
