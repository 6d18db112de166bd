package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosecleat.node.NodeProbe.ask;
import static rosecleat.node.NodeProbe.await;
import static rosecleat.node.NodeProbe.onLoop;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.config.NodeConfigReader;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.fakes.FakeRegistry;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.policy.PolicySettings;
import rosecleat.takeover.TakeoverCoordinator;

/**
 * A new version of a node beside a running one: two nodes that share a folder and an address, as
 * two processes would.
 */
class TakeoverTest {
  /** Extra time that the limits of the protocol get on sockets (ms). */
  private static final int SOCKET_SLACK_MS = 50;

  private final FakeRuntime oldRuntime = new FakeRuntime(300);
  private final FakeRuntime newRuntime = new FakeRuntime(300);
  private final FakeRegistry registry = new FakeRegistry();
  private final Log log = new Log(System.err);
  private Node older;
  private Node newer;
  private RespClient client;
  private int lastId;

  @TempDir Path folder;

  private Node node(FakeRuntime runtime, int port) throws IOException {
    String file =
        TestSite.config(runtime.port(), 0, registry.port(), 2_000, 500)
            .source()
            .toString()
            .replace("127.0.0.1:0", "127.0.0.1:" + port);
    Counters counters = new Counters();
    Node node =
        new Node(
            ProcessConfig.of(NodeConfigReader.parse(file, Map.of())),
            new NodeEnvironment(
                new EventLoop(log),
                TakeoverCoordinator.join(Optional.ofNullable(folder), counters, log),
                new NoEstimatePersistence(),
                new NoFleet(),
                counters,
                log));
    node.start();
    return node;
  }

  @BeforeEach
  void start() throws IOException {
    older = node(oldRuntime, 0);
    await(() -> ask(older, Core::ready));
    client = new RespClient(older.port(), null);
  }

  /**
   * Starts the successor, which serves clients as soon as its runtime is connected, and not before.
   */
  private void startNewer() throws IOException {
    newRuntime.readyAfterMs = 300;
    newer = node(newRuntime, older.port());
    assertEquals(false, onLoop(newer, newer::isServing));
    await(() -> onLoop(newer, newer::isServing));
    await(() -> ask(older, core -> core.counters().get("shares.two")) == 1);
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    older.close();
    if (newer != null) {
      newer.close();
    }
    oldRuntime.close();
    newRuntime.close();
    registry.close();
    log.close();
  }

  private void send(RespClient to, int tag, String className, String once, String body)
      throws IOException {
    to.send(
        RespClient.array(
            "DO",
            tag,
            className,
            RespClient.fields(String.format("%016x", ++lastId), "small", 1_100, once),
            body));
  }

  /**
   * Connects until a connection reaches the target node: the operating system distributes
   * connections while both nodes listen.
   */
  private RespClient connectTo(Node target) throws IOException {
    for (int i = 0; i < 100; i++) {
      int before = onLoop(target, () -> (int) target.core().counters().get("resp.checks"));
      RespClient fresh = new RespClient(older.port(), null);
      fresh.send(RespClient.array("PING", 1, ""));
      assertEquals("UP", fresh.read().get(1));
      if (onLoop(target, () -> (int) target.core().counters().get("resp.checks")) > before) {
        return fresh;
      }
      fresh.close();
    }
    throw new AssertionError("no connection reached the target node");
  }

  @Test
  void predecessorServesItsRequestsAndLaterOnesReachTheSuccessor() throws Exception {
    startNewer();
    send(client, 1, "balance-check", null, "held");
    await(() -> oldRuntime.startsOf("held") == 1);
    CompletableFuture<Void> left = new CompletableFuture<>();
    assertTrue(
        older.beginShutdown(() -> left.complete(null)) < 2_000_000,
        "longest timeout of a request plus 0.7 s");
    assertEquals("BYE", client.read().get(1));
    assertEquals(FakeRuntime.result("held"), client.read().get(3));
    try (RespClient after = new RespClient(newer.port(), null)) {
      send(after, 1, "balance-check", null, "later");
      after.send(RespClient.array("PING", 2, ""));
      assertEquals("UP", after.read().get(1));
      assertEquals(FakeRuntime.result("later"), after.read().get(3));
    }
    assertEquals(1, newRuntime.startsOf("later"));
    client.close();
    left.get(3, TimeUnit.SECONDS);
    older.close();
    await(() -> ask(newer, core -> core.counters().get("shares.one")) == 1);
    assertTrue(
        registry.reports.stream().noneMatch(r -> r.contains("off")), registry.reports.toString());
    client = new RespClient(newer.port(), null);
    newer.beginShutdown(() -> {}); // this node has no successor, so it drains
    await(() -> registry.reports.get(registry.reports.size() - 1).contains("off"));
    client.send(RespClient.array("PING", 2, ""));
    // On a busy machine the request to close may arrive first.
    assertEquals("DOWN", client.answer().get(1));
  }

  /**
   * Guards requests with an idempotency key whose attempts reach both processes: one attempt runs,
   * and the others get its result.
   */
  @Test
  void idempotencyKeyRunsInOneProcessOnly() throws Exception {
    startNewer();
    try (RespClient a = connectTo(older);
        RespClient b = connectTo(newer)) {
      send(a, 2, "card-load", "k", "body");
      await(() -> oldRuntime.startsOf("body") == 1);
      send(b, 2, "card-load", "k", "body"); // while it runs
      assertEquals(FakeRuntime.result("body"), b.answer().get(3));
      assertEquals(FakeRuntime.result("body"), a.answer().get(3));
      send(b, 3, "card-load", "k", "body"); // after it ran
      assertEquals(FakeRuntime.result("body"), b.answer().get(3));
      send(b, 4, "card-load", "k", "other");
      assertEquals("FAILED", b.answer().get(1));
      assertEquals(0, newRuntime.starts.size());
      send(b, 5, "card-load", "k2", "second");
      assertEquals(FakeRuntime.result("second"), b.answer().get(3));
      send(a, 5, "card-load", "k2", "second");
      assertEquals(FakeRuntime.result("second"), a.answer().get(3));
      assertEquals(0, oldRuntime.startsOf("second"));
      send(a, 6, "card-load", "k3", "lost");
      await(() -> oldRuntime.startsOf("lost") == 1);
      older.close(); // killed in the middle of a run
      send(b, 6, "card-load", "k3", "lost");
      assertEquals("FAILED", b.answer().get(1));
      assertEquals(0, newRuntime.startsOf("lost"));
    }
    assertEquals(0, ask(newer, Core::inFlight));
  }

  /**
   * Guards the shared index: two processes, each with its own count, would make twice the calls
   * that the node may make.
   */
  @Test
  void bothProcessesTogetherStayWithinTheLimitsOfTheNode() throws Exception {
    startNewer();
    PolicySettings nodeLimits = TestSite.config(0, 0, 0, 2_000, 500).settings().policy();
    try (RespClient a = connectTo(older);
        RespClient b = connectTo(newer)) {
      for (int tag = 2; tag < 26; tag++) {
        send(a, tag, "balance-check", null, "x");
        send(b, tag, "balance-check", null, "x");
      }
      await(() -> onLoop(older, older::limits).memoryKb() < 0.6 * nodeLimits.memoryKb());
      double sum =
          onLoop(older, older::limits).memoryKb() + onLoop(newer, newer::limits).memoryKb();
      assertTrue(sum < 1.1 * nodeLimits.memoryKb(), sum + " of " + nodeLimits.memoryKb());
      double calls =
          onLoop(older, older::limits).concurrentCalls()
              + onLoop(newer, newer::limits).concurrentCalls();
      assertTrue(
          calls < 1.1 * nodeLimits.concurrentCalls(),
          calls + " of " + nodeLimits.concurrentCalls());
    }
    older.close();
    await(() -> onLoop(newer, newer::limits).memoryKb() == nodeLimits.memoryKb());
  }

  /**
   * Guards clients of a node whose successor dies before it serves: the predecessor must drain as
   * if it were alone.
   */
  @Test
  void predecessorDrainsWhenItsSuccessorEnds() throws Exception {
    newRuntime.readyAfterMs = 60_000;
    newer = node(newRuntime, older.port());
    older.beginShutdown(() -> {});
    client.send(RespClient.array("PING", 1, ""));
    assertEquals("UP", client.read().get(1));
    newer.close();
    await(() -> registry.reports.stream().anyMatch(r -> r.contains("off")));
    assertEquals(List.of(), newRuntime.starts);
  }

  /**
   * Both processes of a node were requested to shut down, the newer one first. The older one still
   * considered it the successor that takes over, and continued to run requests that arrived long
   * after the grace period.
   */
  @Test
  void predecessorDrainsWhenItsSuccessorIsLeaving() throws Exception {
    startNewer();
    newer.beginShutdown(() -> {});
    older.beginShutdown(() -> {});
    await(() -> ask(older, Core::draining));
    await(() -> ask(older, Core::gracePeriodEnded));
    // A request that arrives exactly at the end of the grace period may still run.
    Thread.sleep(SOCKET_SLACK_MS);
    send(client, 1, "balance-check", null, "late");
    assertEquals("BUSY", client.answer().get(1));
    assertEquals(List.of(), oldRuntime.starts);
  }

  @Test
  void operatorDrainReachesBothProcesses() throws Exception {
    startNewer();
    Counters counters = new Counters();
    try (RespClient a = connectTo(older);
        RespClient b = connectTo(newer);
        TakeoverCoordinator coordinator =
            TakeoverCoordinator.join(Optional.ofNullable(folder), counters, log)) {
      coordinator.setDrained(true);
      for (RespClient each : List.of(a, b)) {
        await(() -> health(each).equals("DOWN"));
      }
      coordinator.setDrained(false);
      for (RespClient each : List.of(a, b)) {
        await(() -> health(each).equals("UP"));
      }
    }
  }

  private static String health(RespClient client) {
    try {
      client.send(RespClient.array("PING", 1, ""));
      return client.answer().get(1);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
