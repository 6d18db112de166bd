package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosecleat.core.CoreHarness.BALANCE_CHECK;
import static rosecleat.core.CoreHarness.CARD_LOAD;
import static rosecleat.core.CoreHarness.GRACE_PERIOD_US;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rosecleat.core.CoreHarness.Attempt;

/** Tests which requests still run during a graceful shutdown. */
class ShutdownTest {
  private static final long REMAINING_US = 3_000_000;

  private CoreHarness harness = CoreHarness.started();

  @AfterEach
  void close() {
    harness.close();
  }

  @Test
  void nothingRunsIfShutdownBeginsBeforeTheStart() {
    harness.close();
    harness = CoreHarness.notStarted();
    assertTrue(harness.core.healthy());
    harness.core.drain(harness.nowUs, REMAINING_US);
    assertFalse(harness.core.healthy());
    harness.core.start(false, 0);
    assertFalse(harness.core.healthy());
    harness.send(BALANCE_CHECK, null, "x").assertRejected();
    assertEquals(0, harness.starts());
  }

  @Test
  void requestsInFlightCompleteAndRequestsAfterTheGracePeriodAreRejected() {
    Attempt running = harness.send(BALANCE_CHECK, null, "x");
    harness.core.drain(harness.nowUs, REMAINING_US);
    harness.complete(running, "done");
    assertEquals("done", running.result());
    harness.pass(GRACE_PERIOD_US + 100_000);
    harness.send(BALANCE_CHECK, null, "late").assertRejected();
    assertEquals(1, harness.starts());
  }

  /**
   * Guards against a grace period that starts too late: a busy event loop may handle the shutdown
   * notice long after it arrived.
   */
  @Test
  void gracePeriodStartsAtTheNoticeEvenIfItIsHandledLate() {
    long notifiedUs = harness.nowUs;
    harness.nowUs += 200_000; // the event loop was busy
    harness.core.drain(notifiedUs, REMAINING_US);
    Attempt within = harness.send(BALANCE_CHECK, null, "a");
    // The policy counts the grace period from when it handled the notice: it has not ended yet.
    harness.nowUs = notifiedUs + GRACE_PERIOD_US + 100_000;
    Attempt late = harness.send(BALANCE_CHECK, null, "b");
    Attempt idempotent = harness.send(CARD_LOAD, "k", "c");
    assertEquals(List.of("start " + within.id), harness.commands);
    late.assertRejected();
    idempotent.assertRejected();
    assertEquals(2, harness.core.counters().get("late.notrun"));
  }

  @Test
  void respondToAllFailsRunningRequestsAndRejectsQueuedOnes() {
    Attempt first = harness.send(BALANCE_CHECK, null, "a");
    Attempt second = harness.send(BALANCE_CHECK, null, "b");
    Attempt queued = harness.send(BALANCE_CHECK, null, "c");
    harness.core.respondToAll(FailureReason.NODE_STOPPED);
    assertEquals("the node is stopped", first.failure().message());
    assertEquals(Progress.MAY_HAVE_RUN, second.failureProgress());
    queued.assertRejected();
    assertEquals(0, harness.core.awaitingResponse());
  }
}
