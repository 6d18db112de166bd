package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;

/**
 * A node whose connection to its runtime breaks, stops delivering messages or carries malformed
 * messages.
 */
class NodeRuntimeTest extends NodeLinksHarness {
  @Test
  void healthChecksAreAnsweredWhileTheRuntimeStarts() throws IOException {
    runtime.readyAfterMs = 500;
    start();
    client.send(RespClient.array("PING", 1, ""));
    assertEquals("UP", client.answer().get(1));
    assertTrue(!ready());
    // No request can run yet, and none has run.
    assertEquals("BUSY", answer("balance-check").get(1));
    await(this::ready);
    assertEquals(FakeRuntime.result("body 2"), answer("balance-check").get(3));
  }

  @Test
  void reconnectionSynchronizesAndRepeatsNothing() throws IOException {
    startServing();
    send("balance-check", null);
    await(() -> runtime.starts.size() == 1);
    runtime.cut(); // the run continues, and ends while there is no connection
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
    assertEquals("OK", answer("balance-check").get(1));
    assertEquals(2, runtime.starts.size());
    assertEquals(2, count("runs.ok"));
    assertTrue(runtime.commands.contains("sync "), "no sync");
  }

  @Test
  void commandLostWithTheConnectionIsResent() throws IOException {
    startServing();
    runtime.swallow = 1;
    send("balance-check", null);
    await(() -> runtime.swallow == 0);
    runtime.cut();
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
    assertEquals(1, count("runtime.resent"));
  }

  @Test
  void idempotentStartThatMayHaveArrivedFailsAtOnce() throws IOException {
    startServing();
    runtime.swallow = 1;
    long sentNs = System.nanoTime();
    // Runs of this class may end without a call, so a repeated start could run twice.
    send("card-load", "k");
    await(() -> runtime.swallow == 0);
    runtime.cut();
    assertEquals("FAILED", client.answer().get(1));
    assertTrue(
        System.nanoTime() - sentNs < 700_000_000, "request was not failed before its deadline");
    assertEquals(0, runtime.starts.size());
  }

  /**
   * A request with an effect and without a key ran twice. Its connection to the runtime broke while
   * it ran; the node inferred from the missing key that the start may be repeated, and sent it
   * again after its run had ended. The runtime's record of commands was {@code sync, start 1, sync,
   * gauges, start 1}.
   */
  @Test
  void startOfSideEffectRequestWithoutKeyIsNeverResent() throws IOException {
    startServing(TestSite.withEffect(config(), "side_effect"));
    assertRunsOnceWhenItEndsAfterResumption("balance-check", null);
  }

  /**
   * Runs of a class that makes calls may end without a call (setting {@code extra.class-calls}).
   */
  @Test
  void idempotentStartWhoseRunMayCallIsNeverResent() throws IOException {
    startServing(TestSite.config(runtime.port(), index.port(), registry.port(), 2_000, 500, true));
    assertRunsOnceWhenItEndsAfterResumption("card-load", "k");
  }

  private void assertRunsOnceWhenItEndsAfterResumption(String className, String once)
      throws IOException {
    runtime.endRunsBehindGauges = "resumed";
    send(className, once);
    await(() -> runtime.starts.size() == 1);
    runtime.cut();
    assertNotEquals("BUSY", client.answer().get(1)); // the request ran
    // Processed after any command that was sent again.
    assertEquals("OK", answer("card-refresh").get(1));
    assertEquals(1, runtime.startsOf("body 1"));
  }

  /**
   * A run of a class that makes calls may still end without a call, so repeating a start that may
   * have arrived is no safer for such a class than for others. The outcome of a run whose end has
   * been received is not in doubt.
   */
  @Test
  void idempotentStartWhoseRunMayCallFailsAtOnce() throws IOException {
    startServing(TestSite.config(runtime.port(), index.port(), registry.port(), 2_000, 500, true));
    runtime.swallow = 1;
    long sentNs = System.nanoTime();
    send("card-load", "k");
    await(() -> runtime.swallow == 0);
    runtime.cut();
    assertEquals("FAILED", client.answer().get(1));
    assertTrue(
        System.nanoTime() - sentNs < 700_000_000, "request was not failed before its deadline");
    assertEquals(0, runtime.starts.size());
    send("card-load", "k2");
    assertEquals(FakeRuntime.result("body 2"), client.answer().get(3));
    runtime.cut();
    assertEquals("OK", answer("balance-check").get(1));
    assertEquals(1, runtime.startsOf("body 2"));
  }

  /**
   * The effect of a keyed request took place and its result arrived, yet every retry failed for the
   * rest of the key's window. The request had been failed when its connection broke, since there
   * was no proof that it ran; the end of the run, which proved it, arrived a moment later and was
   * dropped.
   */
  @Test
  void runEndReceivedAfterTheFailureAnswersRetriesWithTheSameKey() throws IOException {
    startServing();
    runtime.gaugesUnansweredBeforeSync = true;
    send("card-load", "k");
    await(() -> runtime.starts.size() == 1);
    runtime.cut();
    // Fails immediately: there is no proof that the request runs.
    assertEquals("FAILED", client.answer().get(1));
    await(() -> count("runs.proven") == 1);
    retryFirstLoad();
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
    assertEquals(1, runtime.startsOf("body 1"));
  }

  /**
   * A run that makes two calls took the reply to its first call for the reply to its second. The
   * reply had arrived, but its connection broke before that was proven, and the node sent the reply
   * again: a reply names its run but no call.
   */
  @Test
  void callReplyIsNeverUsedForTheNextCall() throws IOException {
    runtime.callsPerRun = 2;
    runtime.endRunsBehindGauges = "resumed";
    startServing();
    send("card-refresh", null);
    runtime.gaugesUnansweredBeforeSync = true;
    await(() -> runtime.gives.size() == 1);
    runtime.cut();
    client.answer();
    for (String give : List.copyOf(runtime.gives)) {
      String[] callAndReply = give.split(" -> ");
      assertEquals("reply to " + callAndReply[0], callAndReply[1]);
    }
  }

  @Test
  void unreadableMessageFailsOnlyItsOwnRun() throws IOException {
    startServing();
    runtime.spoil =
        "{\"type\":\"info\",\"n\":true,\"state\":\"x\"}\n[]\n{\"type\":\"end\"\n"
            + "{\"type\":\"end\",\"job\":\"0000000000000001\",\"state\":\"ok\",\"data\":\"?!\"}\n";
    send("balance-check", null);
    // The end of the run has arrived, but its result cannot be decoded.
    assertEquals("FAILED", client.answer().get(1));
    assertEquals("OK", answer("balance-check").get(1));
    assertEquals(0, count("runtime.unreached"));
    assertEquals(1, count("runs.cut"));
  }

  @Test
  void rejectedStartFailsAndLeavesTheKeyUnclaimed() throws IOException {
    startServing();
    runtime.nackStarts = true;
    send("card-load", "k");
    assertEquals("FAILED", client.answer().get(1));
    runtime.nackStarts = false;
    retryFirstLoad();
    assertEquals("OK", client.answer().get(1));
    assertEquals(1, runtime.startsOf("body 1"));
  }

  /**
   * Guards a node against a connection that stays open and delivers nothing: the node must not wait
   * for it indefinitely.
   */
  @Test
  void unresponsiveConnectionIsReplaced() throws IOException {
    startServing();
    assertEquals("OK", answer("balance-check").get(1));
    runtime.mute();
    await(() -> count("runtime.silent") == 1);
    client.close();
    client = new RespClient(node.port(), null); // the former connection was idle for too long
    await(() -> responseWord("balance-check").equals("OK"));
    assertEquals(1, count("runtime.silent"));
  }

  private String responseWord(String className) {
    try {
      return answer(className).get(1);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /**
   * Guards a correct balancer that uses a class name which a reload has removed: its other requests
   * are valid, so it is not disconnected.
   */
  @Test
  void clientWithSomeValidRequestsIsNotDisconnected() throws IOException {
    startServing();
    for (int i = 0; i < 200; i++) {
      assertEquals("FAILED", answer("no-such-class").get(1));
      if (i % 50 == 0) {
        assertEquals("OK", answer("balance-check").get(1));
      }
    }
  }

  /** Sends another attempt of the first request, which was a load with the key {@code k}. */
  private void retryFirstLoad() throws IOException {
    String fields = RespClient.fields("00000000000000f9", "small", 900, "k");
    client.send(RespClient.array("DO", 9, "card-load", fields, "body 1"));
  }
}
