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

/** What still runs during a graceful shutdown. */
class ShutdownTest {
  private static final long REMAINING_US = 3_000_000;

  private CoreHarness harness = CoreHarness.started();

  @AfterEach
  void close() {
    harness.close();
  }

  @Test
  void nothingRunsIfTheShutdownBeginsBeforeTheStart() {
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
  void requestsInFlightFinishAndThoseAfterTheGracePeriodAreRejected() {
    Attempt running = harness.send(BALANCE_CHECK, null, "x");
    harness.core.drain(harness.nowUs, REMAINING_US);
    harness.complete(running, "done");
    assertEquals("done", running.result());
    harness.pass(GRACE_PERIOD_US + 100_000);
    harness.send(BALANCE_CHECK, null, "late").assertRejected();
    assertEquals(1, harness.starts());
  }

  /** A busy loop handles the notice late; the grace period counts from when it came. */
  @Test
  void gracePeriodCountsFromTheNoticeThoughItIsHandledLate() {
    long notifiedUs = harness.nowUs;
    harness.nowUs += 200_000; // the loop was busy
    harness.core.drain(notifiedUs, REMAINING_US);
    Attempt within = harness.send(BALANCE_CHECK, null, "a");
    harness.nowUs = notifiedUs + GRACE_PERIOD_US + 100_000; // still within it for the policy
    Attempt late = harness.send(BALANCE_CHECK, null, "b");
    Attempt idempotent = harness.send(CARD_LOAD, "k", "c");
    assertEquals(List.of("start " + within.id), harness.commands);
    late.assertRejected();
    idempotent.assertRejected();
    assertEquals(2, harness.core.counters().get("late.notrun"));
  }

  @Test
  void respondingToAllFailsWhatRunsAndRejectsWhatNeverRan() {
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
