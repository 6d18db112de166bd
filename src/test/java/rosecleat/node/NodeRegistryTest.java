package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.net.EventLoop;
import rosecleat.takeover.TakeoverCoordinator;

/** What a node reports to the registry, and how it handles a registry that is unavailable. */
class NodeRegistryTest extends NodeLinksHarness {
  @Test
  void failedReportIsSentAgainEachSecond() throws IOException {
    registry.mood = "";
    startServing();
    // The first report got no response: it was abandoned, and a new connection opened.
    await(() -> registry.reports.size() == 2);
    registry.mood = "503";
    await(() -> registry.reports.size() == 3);
    registry.mood = "204";
    await(() -> count("roster.reports") == 1);
    assertEquals("PUT /roster/t1 HTTP/1.1 {\"duty\":\"on\"}", registry.reports.get(0));
  }

  /**
   * Guards the difference between a drain by operators and that of SIGTERM: a drain by operators
   * changes only health checks, and no request is rejected.
   */
  @Test
  void operatorDrainChangesOnlyHealthChecks() throws IOException {
    Counters counters = new Counters();
    TakeoverCoordinator takeover = TakeoverCoordinator.join(Optional.empty(), counters, log);
    NodeOperations operators = new NodeOperations(takeover, new NoFleet());
    operators.drain(); // before the node is built
    node =
        new Node(
            ProcessConfig.of(
                TestSite.config(runtime.port(), index.port(), registry.port(), 2_000, 500)),
            new NodeEnvironment(
                new EventLoop(log),
                takeover,
                new NoEstimatePersistence(),
                new NoFleet(),
                counters,
                log));
    node.start();
    node.onLoop(() -> operators.attach(node));
    client = new RespClient(node.port(), null);
    await(this::ready);
    for (int round = 0; round < 2; round++) { // a repeated drain has no further effect
      node.onLoop(operators::drain);
      assertEquals("DOWN", healthCheck());
      assertEquals("OK", answer("balance-check").get(1));
    }
    reload();
    assertEquals("DOWN", healthCheck());
    assertEquals(0, client.byes);
    assertEquals(true, ask(core -> operators.isReady()));
    node.onLoop(operators::activate);
    assertEquals("UP", healthCheck());
    assertEquals(1, count("operators.drains"));
    assertTrue(
        registry.reports.stream().noneMatch(r -> r.contains("off")), registry.reports.toString());
  }

  private String healthCheck() throws IOException {
    client.send(RespClient.array("PING", 999, ""));
    return client.answer().get(1);
  }

  /**
   * Guards a deployment while the registry is unavailable: the node serves requests and shuts down
   * without it, and sends its report once the registry is available again.
   */
  @Test
  void unreachableRegistryDelaysNothingAndGetsTheReportOnceItIsBack() throws Exception {
    registry.down();
    startServing();
    assertEquals("OK", answer("balance-check").get(1));
    // Retried before the next periodic report, which follows after 1 s.
    await(() -> count("roster.failed") >= 3);
    CompletableFuture<Void> left = new CompletableFuture<>();
    node.beginShutdown(() -> left.complete(null));
    Thread.sleep(300);
    registry.up();
    await(() -> !registry.reports.isEmpty());
    assertTrue(registry.reports.get(0).contains("off"), registry.reports.toString());
    registry.down();
    client.close();
    left.get(2, TimeUnit.SECONDS);
  }

  @Test
  void shutdownIsReportedToTheRegistryImmediately() throws Exception {
    startServing();
    await(() -> count("roster.reports") > 0);
    CompletableFuture<Void> left = new CompletableFuture<>();
    node.beginShutdown(() -> left.complete(null));
    await(() -> registry.reports.get(registry.reports.size() - 1).contains("off"));
    client.send(RespClient.array("PING", 5, ""));
    assertEquals("DOWN", client.answer().get(1));
    assertEquals("OK", answer("balance-check").get(1)); // within the grace period
    await(() -> ask(Core::gracePeriodEnded));
    Thread.sleep(5); // requests carry their times in whole milliseconds
    // After the grace period no request is run, but each gets a response.
    assertEquals("BUSY", answer("balance-check").get(1));
    assertTrue(client.byes > 0);
    client.close();
    left.get(2, TimeUnit.SECONDS);
  }
}
