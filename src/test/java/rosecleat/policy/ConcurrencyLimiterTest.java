package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how many queued requests run concurrently, and which are started first. */
class ConcurrencyLimiterTest {
  private static final PriorityClass LONG =
      new PriorityClass(1, 0, 60_000_000, 0, 60_000_000, Idempotency.SAFE, 0, false, 0);

  @Test
  void limitStartsAtCoreCountAndGrowsWithFreeCoresUpToOverloadLimit() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(List.of(LONG)), 1);
    for (int i = 0; i < 60; i++) {
      host.arrive(0);
    }
    assertEquals(4, host.running().size());
    host.gauges.coreUtilisation = 0.5;
    host.advance(5_000_000);
    assertTrue(host.policy.concurrencyLimit() > 4);
    assertTrue(host.policy.concurrencyLimit() < 4 * 6);
    assertEquals((int) host.policy.concurrencyLimit(), host.running().size());
  }

  @Test
  void limitFallsToCoreCountAsRunTimesRise() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(List.of(LONG)), 1);
    for (int i = 0; i < 200; i++) {
      host.arrive(0);
    }
    host.gauges.coreUtilisation = 0.5;
    host.advance(2_000_000);
    double limitWithFreeCores = host.policy.concurrencyLimit();
    host.gauges.coreUtilisation = 1; // while cores are free, long runs are not congestion
    for (int i = 0; i < 30; i++) {
      host.end(host.running().get(0), Outcome.OK, 100_000);
    }
    for (int i = 0; i < 40; i++) {
      host.end(host.running().get(0), Outcome.OK, 300_000);
      host.advance(100_000);
    }
    assertTrue(limitWithFreeCores > 4);
    assertEquals(4, host.policy.concurrencyLimit(), 1e-9);
  }

  @Test
  void queuedRequestsStartOldestFirst() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(List.of(LONG)), 1);
    for (int i = 0; i < 8; i++) {
      host.arrive(0);
    }
    host.end(host.running().get(0), Outcome.OK, 1000);
    assertTrue(host.actions.contains("run 5"));
    assertTrue(!host.actions.contains("run 6"));
  }
}
