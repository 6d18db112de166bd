package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when runs that no longer complete are detected as a stall. */
class StallTest {
  private static void assertNoStall(SimulatedHost host) {
    for (int i = 0; i < 4; i++) {
      host.arrive(0);
    }
    host.advance(900_000);
    assertTrue(host.logs.isEmpty());
  }

  @Test
  void stallRejectsQueuedRequestsAndClosesServer() {
    SimulatedHost host = Scenarios.warmedUp();
    for (int i = 0; i < 9; i++) {
      host.arrive(i % 3);
    }
    host.advance(900_000);
    assertFalse(host.healthy);
    assertEquals(1, host.loadAdvice);
    SimulatedHost.HostedRequest duringStall = host.arrive(0);
    assertEquals("reject", duringStall.answer);
    assertTrue(host.lastRetryAfterUs > 0);
    assertFalse(host.lastNoRetry);
    host.end(
        host.running().stream().filter(hosted -> hosted.awaitingResponse).findFirst().orElseThrow(),
        Outcome.OK,
        900_000);
    host.advance(200_000);
    assertTrue(host.healthy);
  }

  @Test
  void newServerReportsNoStallInFirstSecond() {
    assertNoStall(new SimulatedHost(TestSettings.plain(), 1));
  }

  @Test
  void longRunsAreNoStallUntilTwelveCompletionsAreOverdue() {
    SimulatedHost host = Scenarios.warmedUp(600_000);
    for (int i = 0; i < 4; i++) {
      host.arrive(0);
    }
    host.advance(1_200_000); // eight completions are overdue
    assertTrue(host.logs.isEmpty());
    // runs past their objective may have been cancelled, so the cores are filled again
    for (int i = 0; i < 4; i++) {
      host.arrive(2);
    }
    host.advance(1_200_000);
    assertFalse(host.logs.isEmpty());
  }

  @Test
  void longRunsAreNoStallWhileOtherCoresAreFree() {
    SimulatedHost host = Scenarios.warmedUp();
    host.arrive(2);
    host.arrive(2);
    host.advance(1_700_000);
    assertTrue(host.logs.isEmpty());
  }

  @Test
  void heavyReadingIsNoStall() {
    SimulatedHost host = Scenarios.warmedUp();
    host.gauges.runnable = 40;
    assertNoStall(host);
  }
}
