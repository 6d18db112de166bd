package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rosecleat.config.NodeConfigReader;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;

/** A configuration that changes while requests run and connections are open. */
class NodeReloadTest extends NodeLinksHarness {
  @Test
  void runsContinueWhenTheRuntimeMoves() throws IOException {
    startServing();
    for (int round = 0; round < 3; round++) { // successive reloads, each with a run in progress
      send("balance-check", null);
      int started = round + 1;
      await(() -> runtime.starts.size() == started);
      runtime.moveAway();
      reload();
      assertEquals(FakeRuntime.result("body " + tag), client.answer().get(3));
    }
    assertEquals(3, count("runs.ok"));
    assertEquals(3, runtime.starts.size());
  }

  /**
   * A start command that the runtime had received was sent again after the runtime's address
   * changed, and ran twice if its run had just ended. The node considered every command of the last
   * second lost, although the former connection was still open and could prove that all commands
   * had arrived.
   */
  @Test
  void commandsTheRuntimeHasReceivedAreNotResentAfterAMove() throws IOException {
    startServing();
    runtime.endRunsBehindGauges = "resumed";
    send("balance-check", null);
    await(() -> runtime.starts.size() == 1);
    runtime.moveAway();
    reload();
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
    assertEquals("OK", answer("card-refresh").get(1));
    assertEquals(1, runtime.startsOf("body 1"));
    assertEquals(0, count("runtime.resent"));
  }

  @Test
  void reloadWhileConnectingConnectsToTheLastAddress() throws IOException {
    startServing();
    runtime.moveAway();
    node.reload(ProcessConfig.of(TestSite.config(1, 1, 1, 2_000, 500))); // no process listens there
    reload();
    reload();
    assertEquals("OK", answer("card-refresh").get(1));
  }

  @Test
  void movedIndexAndRegistryAreUsedAndCallsToTheOldIndexMayEnd() throws IOException {
    startServing();
    index.answers.add("wait");
    send("card-refresh", null);
    await(() -> index.lines.size() == 1);
    index.moveAway();
    registry.moveAway();
    long reports = registry.reports.size();
    reload();
    await(() -> registry.reports.size() > reports);
    index.release.countDown();
    assertEquals("OK", client.answer().get(1));
    assertEquals(1, count("calls.hit"));
    assertEquals("OK", answer("card-refresh").get(1));
    assertEquals(2, count("calls.hit"));
  }

  @Test
  void reloadWhileDrainingKeepsRunningRequests() throws IOException {
    startServing();
    send("balance-check", null);
    await(() -> runtime.starts.size() == 1);
    node.beginShutdown(() -> {});
    runtime.moveAway();
    reload();
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
  }

  /**
   * Guards requests against changed settings: requests in flight retain their class, and only new
   * requests use the new names.
   */
  @Test
  void reloadedClassesApplyToLaterRequestsOnly() throws IOException {
    startServing();
    send("card-load", "k");
    await(() -> runtime.starts.size() == 1);
    String file =
        TestSite.config(runtime.port(), index.port(), registry.port(), 2_000, 500)
            .source()
            .toString();
    for (int round = 1; round <= 30; round++) {
      reloadWithOtherNames(file, round);
    }
    // The run continues with the class of its request.
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
    assertEquals("FAILED", answer("card-load").get(1));
    assertEquals("FAILED", answer("balance-check").get(1));
    assertEquals("OK", answer("check-30").get(1));
    assertEquals("OK", answer("card-refresh").get(1));
    send("load-30", "k2");
    assertEquals("OK", client.answer().get(1));
    assertTrue(
        runtime.starts.get(runtime.starts.size() - 1).contains("load-30"),
        runtime.starts.toString());
    node.reload(ProcessConfig.of(NodeConfigReader.parse(file, Map.of())));
    send("card-load", "k");
    // The load above has another body than the first load with this key; this one has the same.
    client.send(
        RespClient.array(
            "DO",
            90,
            "card-load",
            RespClient.fields("00000000000000f9", "small", 900, "k"),
            "body 1"));
    assertEquals("FAILED", client.answer().get(1));
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
    assertEquals(1, runtime.startsOf("body 1"));
  }

  /** Reloads with other names for two classes and a tenant. */
  private void reloadWithOtherNames(String file, int round) {
    String renamed =
        file.replace("card-load", "load-" + round)
            .replace("balance-check", "check-" + round)
            .replace("\"name\":\"big\"", "\"name\":\"big-" + round + "\"");
    node.reload(ProcessConfig.of(NodeConfigReader.parse(renamed, Map.of())));
  }
}
