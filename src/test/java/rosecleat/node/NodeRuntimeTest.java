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

/** A node whose connection to its runtime breaks, falls silent or carries nonsense. */
class NodeRuntimeTest extends NodeLinksHarness {
  @Test
  void healthChecksAreAnsweredWhileTheRuntimeStarts() throws IOException {
    runtime.readyAfterMs = 500;
    start();
    client.send(RespClient.array("PING", 1, ""));
    assertEquals("UP", client.answer().get(1));
    assertTrue(!ready());
    assertEquals("BUSY", answer("balance-check").get(1)); // nothing can run yet, and nothing has
    await(this::ready);
    assertEquals(FakeRuntime.result("body 2"), answer("balance-check").get(3));
  }

  @Test
  void reconnectionSynchronizesAndRepeatsNothing() throws IOException {
    startServing();
    send("balance-check", null);
    await(() -> runtime.starts.size() == 1);
    runtime.cut(); // the run goes on, and ends while there is no link
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
    send("card-load", "k"); // its runs may end without a call: a repeat could run it twice
    await(() -> runtime.swallow == 0);
    runtime.cut();
    assertEquals("FAILED", client.answer().get(1));
    assertTrue(System.nanoTime() - sentNs < 700_000_000, "it hung until its due time");
    assertEquals(0, runtime.starts.size());
  }

  /**
   * A request with an effect and no key ran twice. Its connection to the runtime broke while it
   * ran; the node took the missing key for a sign that the start may be repeated, and sent it again
   * after its run had ended. The runtime's record of commands showed it: {@code sync, start 1,
   * sync, gauges, start 1}.
   */
  @Test
  void startOfSideEffectRequestWithoutKeyIsNeverResent() throws IOException {
    startServing(TestSite.withEffect(config(), "side_effect"));
    assertRunsOnceWhenItEndsAfterResumption("balance-check", null);
  }

  /** Runs of a class that calls may end without a call (WIRE, extra.class-calls). */
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
    assertNotEquals("BUSY", client.answer().get(1)); // it ran
    assertEquals("OK", answer("card-refresh").get(1)); // behind whatever was sent again
    assertEquals(1, runtime.startsOf("body 1"));
  }

  /**
   * A class that calls may still end a run without a call, so that a start that may have arrived is
   * no safer to repeat there than elsewhere. A run that has shown its end is in no doubt.
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
    assertTrue(System.nanoTime() - sentNs < 700_000_000, "it hung until its due time");
    assertEquals(0, runtime.starts.size());
    send("card-load", "k2");
    assertEquals(FakeRuntime.result("body 2"), client.answer().get(3));
    runtime.cut();
    assertEquals("OK", answer("balance-check").get(1));
    assertEquals(1, runtime.startsOf("body 2"));
  }

  /**
   * The effect of a keyed request took place and its result arrived, yet every retry failed for the
   * rest of the window. The request had been failed when its connection broke, since nothing proved
   * that it ran; the end that proved it came a moment later and was dropped.
   */
  @Test
  void runEndReceivedAfterTheFailureAnswersRetriesWithTheSameKey() throws IOException {
    startServing();
    runtime.gaugesUnansweredBeforeSync = true;
    send("card-load", "k");
    await(() -> runtime.starts.size() == 1);
    runtime.cut();
    assertEquals("FAILED", client.answer().get(1)); // at once: nothing proves that it runs
    await(() -> count("runs.proven") == 1);
    retryFirstLoad();
    assertEquals(FakeRuntime.result("body 1"), client.answer().get(3));
    assertEquals(1, runtime.startsOf("body 1"));
  }

  /**
   * A run that makes two calls took the reply to the first for the reply to the second. The reply
   * had arrived, but its connection broke before that was proven, and the node sent it again: a
   * reply names its run and no call.
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
    assertEquals("FAILED", client.answer().get(1)); // its end came, its result can't be read
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
   * Guards a node against a link that stays open and brings nothing: it must not wait for that for
   * ever.
   */
  @Test
  void unresponsiveConnectionIsReplaced() throws IOException {
    startServing();
    assertEquals("OK", answer("balance-check").get(1));
    runtime.mute();
    await(() -> count("runtime.silent") == 1);
    client.close();
    client = new RespClient(node.port(), null); // the other stood idle for too long
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
   * Guards an honest balancer that a reload left with a name too many: its other requests are no
   * mistakes.
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

  /** A further attempt of the first request, which was a load with the key {@code k}. */
  private void retryFirstLoad() throws IOException {
    String fields = RespClient.fields("00000000000000f9", "small", 900, "k");
    client.send(RespClient.array("DO", 9, "card-load", fields, "body 1"));
  }
}
