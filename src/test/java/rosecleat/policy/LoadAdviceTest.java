package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the load advice to callers: level, credit and Retry-After. */
class LoadAdviceTest {
  @Test
  void creditIsFiniteWithUnknownNumberOfCallers() {
    SimulatedHost host = new SimulatedHost(TestSettings.withCallers(LoadAdviceMode.CREDIT, 0), 1);
    host.advance(200_000);
    assertTrue(
        host.loadAdvice >= 1 && Double.isFinite(host.loadAdvice), "credit " + host.loadAdvice);
  }

  @Test
  void requestsReadLateRaiseLevelAndRetryAfter() {
    SimulatedHost host = Scenarios.warmedUp();
    assertTrue(host.loadAdvice < 0.05);
    for (int i = 0; i < 80; i++) {
      host.arrive(0, 0, 980_000, 0, 0);
      host.advance(20_000);
    }
    assertTrue(host.loadAdvice > 0.1);
    assertTrue(host.lastRetryAfterUs > 0);
    host.advance(30_000_000);
    assertTrue(host.loadAdvice < 0.05);
  }

  /**
   * Guards against too little credit. Callers without credit turn requests away regardless of their
   * weight, including those of tenants within their quotas.
   */
  @Test
  void eachOfFewCallersGetsCreditForWholeServer() {
    SimulatedHost host = new SimulatedHost(TestSettings.withCallers(LoadAdviceMode.CREDIT, 32), 1);
    host.advance(200_000);
    // one caller may use all four cores while the others send nothing
    assertTrue(host.loadAdvice >= 4, "credit " + host.loadAdvice);
  }

  /**
   * Guards against requests that go to a slow server although other servers could serve them, since
   * callers continue to send as long as they have credit.
   */
  @Test
  void muchSlowerServerReducesCredit() {
    SimulatedHost host = new SimulatedHost(TestSettings.withCallers(LoadAdviceMode.CREDIT, 8), 1);
    for (int i = 0; i < 120; i++) {
      SimulatedHost.HostedRequest hosted = host.arrive(0);
      host.advance(i < 60 ? 50_000 : 400_000);
      host.end(hosted, Outcome.OK, host.nowUs - hosted.arrivedUs);
      host.advance(20_000);
      if (i == 59) {
        assertTrue(host.loadAdvice >= 16, "credit " + host.loadAdvice);
      }
    }
    assertTrue(host.loadAdvice <= 1, "credit " + host.loadAdvice);
  }

  @Test
  void eachOfManyCallersGetsLessThanOneCreditWhileServerRejects() {
    SimulatedHost host =
        new SimulatedHost(TestSettings.withCallers(LoadAdviceMode.CREDIT, 1280), 1);
    host.advance(200_000);
    assertEquals(1, host.loadAdvice, 1e-9);
    host.gauges.coreUtilisation = 1;
    for (int i = 0; i < 200; i++) {
      host.arrive(0);
      host.policy.gate().averageUtilisation = 1;
      host.policy.gate().averageOfferedLoad = 3;
      host.advance(20_000);
    }
    // 256 requests in total for 1280 callers, reduced by the rejection rate
    assertTrue(host.loadAdvice < 0.3, "credit " + host.loadAdvice);
    for (SimulatedHost.HostedRequest hosted : List.copyOf(host.requests.values())) {
      if (hosted.state == RequestState.RUNNING) {
        host.end(hosted, hosted.awaitingResponse ? Outcome.OK : Outcome.CANCELLED, 100_000);
      }
    }
    host.gauges.coreUtilisation = 0.2;
    host.policy.gate().averageUtilisation = 0.2;
    for (int i = 0; i < 100; i++) {
      host.end(host.arrive(0), Outcome.OK, 1000);
      host.advance(50_000);
    }
    assertTrue(host.loadAdvice > 0.9, "credit " + host.loadAdvice);
  }

  @Test
  void firstAttemptMayTryAnotherServerWhenRejectionsAreRare() {
    SimulatedHost host = new SimulatedHost(TestSettings.withMarkedRetries(), 1);
    host.arrive(0, 0, 2_000_000, 0, 0); // read too late for a useful answer
    host.arrive(0);
    host.arrive(0, 0, 2_900_000, 0, 0);
    host.advance(40_000);
    assertFalse(host.lastNoRetry);
    host.markRetries = true;
    host.arrive(0, 0, 2_900_000, 0, 0);
    host.advance(40_000);
    assertTrue(host.lastNoRetry);
  }
}
