package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that a drain answers all requests before the process stops. */
class DrainTest {
  @Test
  void arrivalsAfterGracePeriodAreRejectedAndAllAreAnsweredBeforeStop() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    for (int i = 0; i < 12; i++) {
      host.arrive(i % 3);
    }
    host.drain(2_000_000);
    assertFalse(host.healthy);
    assertEquals(1, host.loadAdvice);
    host.advance(1_000_000);
    host.arrive(0);
    host.advance(600_000);
    SimulatedHost.HostedRequest late = host.arrive(0);
    assertEquals("reject", late.answer);
    assertFalse(host.lastNoRetry);
    host.advance(400_000);
    assertTrue(host.requests.values().stream().noneMatch(hosted -> hosted.awaitingResponse));
  }

  @Test
  void drainShorterThanRunsAnswersAllRequests() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    for (int i = 0; i < 12; i++) {
      host.arrive(i % 3);
    }
    host.drain(100_000);
    host.advance(90_000);
    assertTrue(host.requests.values().stream().noneMatch(hosted -> hosted.awaitingResponse));
  }

  @Test
  void drainAnswersRequestsWaitingForCallsBeforeStop() {
    SimulatedHost host = Scenarios.allWaitingForCalls(20, false);
    host.drain(600_000);
    host.advance(580_000);
    assertTrue(host.requests.values().stream().noneMatch(hosted -> hosted.awaitingResponse));
  }
}
