package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When idle connections are closed. */
class IdleConnectionTimeoutTest {
  @Test
  void timeoutIsShortForRareCallersAndLongForFrequentCallers() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    for (int i = 0; i < 400; i++) {
      host.callerId = i % 300; // thirty seconds apart
      host.end(host.arrive(0), Outcome.OK, 1000);
      host.advance(100_000);
    }
    assertTrue(host.idleTimeoutUs > 0 && host.idleTimeoutUs <= 100_000);
    for (int i = 0; i < 400; i++) {
      host.callerId = i % 5; // half a second apart
      host.end(host.arrive(0), Outcome.OK, 1000);
      host.advance(100_000);
    }
    assertEquals(host.settings.maxIdleUs(), host.idleTimeoutUs);
  }

  /**
   * Guards the table against strangers from the first one on: connections that asked once and stay.
   */
  @Test
  void oneTimeCallersKeepTimeoutShortDespiteOneReturningCaller() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    for (int i = 0; i < 100; i++) {
      host.callerId = i % 4 == 0 ? 1 : 1_000 + i;
      host.end(host.arrive(0), Outcome.OK, 1000);
      host.advance(50_000);
      assertTrue(host.idleTimeoutUs <= 100_000, "kept " + host.idleTimeoutUs + " after " + i);
    }
  }

  @Test
  void timeoutIsLongWhileReadsOverloadCores() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    host.gauges.runnable = 40;
    host.advance(5_000_000);
    assertEquals(host.settings.maxIdleUs(), host.idleTimeoutUs);
    host.gauges.runnable = 0;
    host.advance(5_000_000);
    assertTrue(
        host.idleTimeoutUs > 100_000); // it falls slowly: at once would let the storm back in
    host.advance(60_000_000);
    assertTrue(host.idleTimeoutUs <= 100_000);
  }
}
