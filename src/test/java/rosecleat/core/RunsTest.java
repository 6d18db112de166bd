package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosecleat.core.CoreHarness.BALANCE_CHECK;
import static rosecleat.core.CoreHarness.CARD_REFRESH;
import static rosecleat.core.CoreHarness.START_US;
import static rosecleat.core.CoreHarness.TIMEOUT_US;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rosecleat.core.CoreHarness.Attempt;

/** Tests runs that end, are cancelled, pause for downstream calls or are lost. */
class RunsTest {
  private static final byte[] CALL_BODY = "call".getBytes(StandardCharsets.UTF_8);
  private static final byte[] REPLY = "reply".getBytes(StandardCharsets.UTF_8);

  private final CoreHarness harness = CoreHarness.started();

  @AfterEach
  void close() {
    harness.close();
  }

  @Test
  void abandonedRequestThatMayHaveRunFailsAndIsNotRejected() {
    Attempt first = harness.send(BALANCE_CHECK, null, "x");
    Attempt second = harness.send(BALANCE_CHECK, null, "y");
    Attempt queued = harness.send(BALANCE_CHECK, null, "z");
    while (first.responses.isEmpty()) { // no run ends, so the policy must abandon the requests
      harness.pass(20_000);
      assertTrue(
          harness.requestsSent() < 10, "the policy must abandon runs without further requests");
      assertTrue(harness.nowUs < START_US + 2_000_000, "no response within 2 s");
    }
    assertEquals(Progress.MAY_HAVE_RUN, first.failureProgress());
    assertEquals(Progress.MAY_HAVE_RUN, second.failureProgress());
    assertTrue(
        harness.commands.containsAll(List.of("cancel run " + first.id, "cancel run " + second.id)),
        harness.commands.toString());
    assertTrue(
        harness.nowUs <= START_US + TIMEOUT_US + 130_000,
        "response more than 130 ms after the deadline");
    harness.pass(1_500_000);
    queued.assertRejected(); // it never ran
  }

  @Test
  void cancellingRequestCancelsItsCallAndItsRun() {
    Attempt attempt = harness.send(CARD_REFRESH, null, "x");
    harness.core.callRequested(attempt.id, 7, CALL_BODY);
    assertEquals("call id1", harness.commands.get(1));
    attempt.handle.cancel();
    assertEquals(List.of("cancel call id1", "cancel run id1"), harness.commands.subList(2, 4));
    harness.core.callEnded(attempt.id, CallResult.OK, REPLY); // after the cancellation: ignored
    harness.end(attempt, RunResult.CANCELLED);
    assertEquals(0, harness.core.inFlight());
    assertEquals(4, harness.commands.size());
    assertTrue(attempt.responses.isEmpty());
  }

  @Test
  void replyToDownstreamCallResumesThePausedRun() {
    Attempt attempt = harness.send(CARD_REFRESH, null, "x");
    harness.core.callRequested(attempt.id, 7, CALL_BODY);
    harness.core.callEnded(attempt.id, CallResult.OK, REPLY);
    assertEquals(List.of("start id1", "call id1", "complete call id1"), harness.commands);
    harness.complete(attempt, "done");
    assertEquals("done", attempt.result());
    assertEquals(1, harness.core.counters().get("calls.hit"));
    assertEquals(1, harness.core.counters().get("runs.ok"));
  }

  @Test
  void runIsCancelledIfTheRunnerRejectsItsResumption() {
    Attempt attempt = harness.send(CARD_REFRESH, null, "x");
    harness.core.callRequested(attempt.id, 7, CALL_BODY);
    harness.core.callEnded(attempt.id, CallResult.OK, REPLY);
    harness.core.resumeRejected(attempt.id);
    assertEquals("cancel run id1", harness.commands.get(3));
    assertEquals(1, harness.core.counters().get("nacks"));
  }

  @Test
  void requestFailsAsNotSentIfTheRunnerRejectsItsStart() {
    Attempt attempt = harness.send(BALANCE_CHECK, null, "x");
    harness.core.startRejected(attempt.id);
    assertEquals(Progress.NOT_SENT, attempt.failureProgress());
    assertEquals(0, harness.core.inFlight());
  }

  @Test
  void runWithoutReportedEndIsClosedAndFreesItsCore() {
    Attempt first = harness.sendLoad("a"); // idempotent: its run is not cancelled
    Attempt second = harness.sendLoad("b");
    harness.pass(1_500_000);
    assertEquals(2, harness.core.inFlight());
    harness.pass(32_000_000);
    assertEquals(Progress.MAY_HAVE_RUN, first.failureProgress());
    assertEquals(Progress.MAY_HAVE_RUN, second.failureProgress());
    assertEquals(0, harness.core.inFlight());
    Attempt third = harness.send(BALANCE_CHECK, null, "x"); // the cores are free again
    harness.complete(third, "done");
    assertEquals("done", third.result());
  }

  @Test
  void requestWithIdOfAnotherRequestInFlightFails() {
    Attempt first = harness.send(BALANCE_CHECK, null, "x");
    Attempt duplicate = harness.sendWithLastId(BALANCE_CHECK, null, "x", harness.nowUs);
    assertEquals(Progress.NOT_SENT, duplicate.failureProgress());
    harness.complete(first, "done");
    assertEquals("done", first.result());
  }
}
