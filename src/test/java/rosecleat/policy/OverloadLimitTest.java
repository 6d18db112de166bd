package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that memory and concurrent runs stay within the server's limits. */
class OverloadLimitTest {
  @Test
  void memoryStaysWithinItsLimit() {
    SimulatedHost host =
        new SimulatedHost(
            TestSettings.withoutDownstream(
                CancelMode.OFF, LoadAdviceMode.OFF, 400, false, TestSettings.SAFE),
            1);
    host.gauges.coreUtilisation = 0.3;
    for (int i = 0; i < 200; i++) {
      host.arrive(0);
      if (i % 10 == 0) {
        host.advance(20_000);
      }
    }
    assertTrue(host.memoryKb() <= 400);
  }

  @Test
  void coldServerStaysWithinItsLowerOverloadLimit() {
    SimulatedHost host =
        new SimulatedHost(
            TestSettings.withoutDownstream(
                CancelMode.OFF, LoadAdviceMode.OFF, 100_000, true, TestSettings.SAFE),
            1);
    host.gauges.coreUtilisation = 0.3;
    for (int i = 0; i < 100; i++) {
      host.arrive(0);
      host.advance(20_000);
    }
    assertTrue(host.running().size() <= 10);
  }

  @Test
  void requestsReturningFromCallsTogetherStayWithinOverloadLimit() {
    for (boolean cold : new boolean[] {false, true}) {
      SimulatedHost host = Scenarios.allWaitingForCalls(60, cold);
      host.requests.values().stream()
          .filter(hosted -> hosted.state == RequestState.CALLING)
          .toList()
          // the host asserts the overload limit
          .forEach(hosted -> host.endCall(hosted, Outcome.OK));
      assertTrue(host.running().size() > 4);
    }
  }

  @Test
  void memoryOfPausedRequestsStaysCounted() {
    SimulatedHost host =
        new SimulatedHost(
            TestSettings.withoutDownstream(
                CancelMode.PAUSE, LoadAdviceMode.LEVEL, 400, false, TestSettings.SAFE),
            1);
    for (int i = 0; i < 4; i++) {
      host.end(host.arrive(0), Outcome.CANCELLED, 1000);
    }
    for (int i = 0; i < 30; i++) {
      host.arrive(0); // the host asserts the memory limit
    }
  }
}
