package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import rosecleat.core.Core;
import rosecleat.fakes.RespClient;

/** Calls to the index with each possible outcome, and malformed replies. */
class NodeIndexTest extends NodeLinksHarness {
  @Test
  void callCarriesTheRunsBodyAndReturnsItsReply() throws IOException {
    startServing();
    assertEquals("OK", answer("card-refresh").get(1));
    assertTrue(
        index.lines.get(0).matches("GET 0000000000000001 [0-9]+ 25"), index.lines.toString());
    assertEquals(
        List.of("call for 0000000000000001 -> reply to call for 0000000000000001"), runtime.gives);
  }

  @Test
  void eachOutcomeOfACallIsCountedAndRetried() throws IOException {
    startServing();
    index.answers.addAll(List.of("SHED", "HIT", "BROKEN", "HIT", "NOBODY", "SLOW", "cut", "HIT"));
    for (int i = 0; i < 4; i++) { // reads may repeat a call after any failure; all of them succeed
      assertEquals("OK", answer("card-refresh").get(1));
    }
    assertEquals(8, index.lines.size());
    for (String end : List.of("shed", "broken", "unreached", "slow", "cut")) {
      assertEquals(1, count("calls." + end), end);
    }
  }

  @Test
  void unreachableIndexProvesThatNoCallRan() throws IOException {
    startServing();
    index.close();
    assertEquals("OK", answer("card-refresh").get(1)); // served without the result of the call
    assertTrue(count("calls.unreached") > 0);
    assertEquals(0, count("calls.cut"));
  }

  @Test
  void cancelledRequestStopsItsCall() throws IOException {
    startServing();
    index.answers.add("");
    String id = send("card-refresh", null);
    await(() -> index.lines.size() == 1);
    client.send(RespClient.array("UNDO", tag));
    await(() -> index.lines.contains("STOP " + id) && runtime.commands.contains("stop " + id));
    assertEquals("OK", answer("card-refresh").get(1));
    // The reply that is missing may still arrive on the first connection.
    assertEquals(2, count("index.connections"));
    assertEquals(0, ask(Core::inFlight));
  }

  @Test
  void malformedReplyFailsOnlyItsOwnCall() throws IOException {
    startServing();
    List<String> malformedReplies =
        List.of(
            "noise\u0000\u00ff\n",
            "ID HIT 3000000000\r\nxxxx",
            "ID HIT -4\r\n",
            "ID HIT many\r\n",
            "ID HIT 2\r\nabcd\r\n",
            "ID MAYBE\r\n",
            "ID HIT\r\n",
            "x".repeat(100),
            "nobody SHED\r\n");
    for (String text : malformedReplies) {
      // The first call is outstanding while the reply to the second is malformed.
      index.answers.addAll(List.of("wait", "raw " + text));
      send("card-refresh", null);
      await(() -> index.answers.size() == 1);
      send("card-refresh", null);
      assertEquals("OK", client.answer().get(1)); // a read may repeat its call
      index.release.countDown();
      assertEquals("OK", client.answer().get(1));
      index.release = new CountDownLatch(1);
    }
    assertEquals(malformedReplies.size(), count("calls.broken"));
    assertEquals(0, count("calls.cut"));
    assertEquals(2L * malformedReplies.size(), count("calls.hit"));
  }

  @Test
  void duplicateAndUnknownRepliesAreIgnored() throws IOException {
    startServing();
    String hit = "ID HIT 2\r\nok\r\n";
    index.answers.addAll(
        List.of(
            "raw 00000000000000ff HIT 3\r\nbad\r\n" + hit,
            "raw ID SHED\r\nID HIT 3\r\nbad\r\n",
            "raw " + hit + hit,
            "HIT"));
    // The second request calls twice: the surplus reply to its first call is not a reply to its
    // second.
    for (int i = 0; i < 3; i++) {
      assertEquals("OK", answer("card-refresh").get(1));
    }
    assertTrue(runtime.gives.stream().noneMatch(g -> g.contains("bad")), runtime.gives.toString());
    assertEquals(3, count("calls.hit"));
    assertEquals(1, count("calls.shed"));
  }

  @Test
  void connectionThatWasIdleTooLongIsNotReused() throws Exception {
    startServing();
    assertEquals("OK", answer("card-refresh").get(1));
    Thread.sleep(300);
    assertEquals("OK", answer("card-refresh").get(1));
    assertEquals(2, count("index.connections"));
  }
}
