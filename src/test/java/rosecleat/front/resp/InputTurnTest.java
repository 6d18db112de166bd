package rosecleat.front.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import rosecleat.core.RequestClass;
import rosecleat.fakes.Await;
import rosecleat.fakes.RespClient;
import rosecleat.log.Log;
import rosecleat.net.LoopGate;
import rosecleat.policy.Idempotency;
import rosecleat.runtime.UnavailableRunner;

/** How the event loop is shared between connections that have much input and others. */
class InputTurnTest {
  private static final int MESSAGES = 60;

  /** Most messages of one connection that may be handled before another connection's message. */
  private static final int MAX_MESSAGES_BEFORE = 16;

  /** Guards a client's message against waiting for all that another client sent at once. */
  @Test
  void messageOfOtherClientIsHandledBetweenThoseOfOneClient() throws Exception {
    List<RequestClass> classes =
        List.of(new RequestClass("balance-check", Idempotency.SAFE, false, 0, 1_000_000));
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    try (Log log = new Log(new PrintStream(lines, true, StandardCharsets.UTF_8));
        FrontendHarness harness =
            new FrontendHarness(
                classes,
                List.of(),
                1_000_000,
                UnavailableRunner::new,
                System::currentTimeMillis,
                log);
        LoopGate gate = new LoopGate(harness.loop);
        RespClient flooding = new RespClient(harness.port(), null);
        RespClient other = new RespClient(harness.port(), null)) {
      harness.awaitAtLeast(2, harness.frontend::openConnections);
      gate.hold();
      flooding.send(invalidRequests(1, MESSAGES));
      gate.settle();
      other.send(invalidRequests(1_000, 1));
      gate.settle();
      gate.release();
      assertEquals("FAILED", other.answer().get(1));
      Await.until(() -> lines.toString(StandardCharsets.UTF_8).lines().count() > MESSAGES);
      List<String> handled = lines.toString(StandardCharsets.UTF_8).lines().toList();
      int position = 0;
      while (!handled.get(position).contains("tag 1000 ")) {
        position++;
      }
      assertTrue(position <= MAX_MESSAGES_BEFORE, position + " messages were handled before");
    }
  }

  private static byte[] invalidRequests(int firstTag, int count) {
    ByteArrayOutputStream requests = new ByteArrayOutputStream();
    for (int tag = firstTag; tag < firstTag + count; tag++) {
      requests.writeBytes(RespClient.array("DO", tag, "no-such-class", "id=1", "b"));
    }
    return requests.toByteArray();
  }
}
