package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the timeout of idle connections. */
class IdleConnectionTimeoutTest {
  @Test
  void timeoutIsShortForRareCallersAndLongForFrequentCallers() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    for (int i = 0; i < 400; i++) {
      host.callerId = i % 300; // each caller returns after 30 s
      host.end(host.arrive(0), Outcome.OK, 1000);
      host.advance(100_000);
    }
    assertTrue(host.idleTimeoutUs > 0 && host.idleTimeoutUs <= 100_000);
    for (int i = 0; i < 400; i++) {
      host.callerId = i % 5; // each caller returns after 0.5 s
      host.end(host.arrive(0), Outcome.OK, 1000);
      host.advance(100_000);
    }
    assertEquals(host.settings.maxIdleUs(), host.idleTimeoutUs);
  }

  /**
   * Guards against a connection table that fills with idle connections of callers that sent one
   * request only. The timeout must be short from the first of these callers on.
   */
  @Test
  void oneTimeCallersKeepTimeoutShortDespiteOneReturningCaller() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    for (int i = 0; i < 100; i++) {
      host.callerId = i % 4 == 0 ? 1 : 1_000 + i;
      host.end(host.arrive(0), Outcome.OK, 1000);
      host.advance(50_000);
      assertTrue(
          host.idleTimeoutUs <= 100_000,
          "idle timeout " + host.idleTimeoutUs + " us after arrival " + i);
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
    // an immediate fall would admit the connection storm again
    assertTrue(host.idleTimeoutUs > 100_000);
    host.advance(60_000_000);
    assertTrue(host.idleTimeoutUs <= 100_000);
  }

  /** Guards the heap against a client that states another caller with each of its requests. */
  @Test
  void rememberedCallersAreBounded() {
    IdleConnectionTimeout timeout =
        new IdleConnectionTimeout(new PolicyContext(TestSettings.plain(), 1, null));
    for (int caller = 0; caller < 3 * IdleConnectionTimeout.MAX_CALLERS; caller++) {
      timeout.countArrival(caller, 0.5);
    }
    assertEquals(IdleConnectionTimeout.MAX_CALLERS, timeout.rememberedCallers());
  }
}
