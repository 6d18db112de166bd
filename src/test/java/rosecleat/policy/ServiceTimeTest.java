package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the run times that the policy learns from runs. */
class ServiceTimeTest {
  /**
   * Guards against infinite or negative estimates after a run whose reported duration is zero, or
   * shorter than the time that this clock shows for its call.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 100_000})
  void runOfZeroLengthKeepsEstimatesFinite(long tookUs) {
    SimulatedHost host = Scenarios.withDownstreamQuota(4, false, Scenarios.OPTIONAL_CALL);
    SimulatedHost.HostedRequest hosted = host.arrive(0);
    host.needCall(hosted);
    host.advance(tookUs + 1_000); // time at the call by this clock, longer than the reported run
    host.endCall(hosted, Outcome.OK);
    host.end(hosted, Outcome.OK, tookUs);
    assertTrue(
        host.policy.learnedEstimates().runTimesUs()[0] > 0,
        "a run time of " + host.policy.learnedEstimates().runTimesUs()[0]);
    for (int i = 0; i < 5; i++) { // the host asserts that no call times out before it is made
      SimulatedHost.HostedRequest next = host.arrive(0);
      host.advance(40_000);
      host.needCall(next);
      assertEquals(RequestState.CALLING, next.state);
      host.endCall(next, Outcome.OK);
      host.end(next, Outcome.OK, 40_000);
    }
  }

  /**
   * Guards against a run time that is too short after a run was dropped at a call and started
   * again: the call time of the first run must not be subtracted from the second.
   */
  @Test
  void secondRunExcludesCallTimeOfFirstRun() {
    SimulatedHost host = Scenarios.withDownstreamQuota(4, false, Scenarios.OPTIONAL_CALL);
    SimulatedHost.HostedRequest hosted = host.arrive(0);
    host.needCall(hosted);
    host.advance(300_000);
    host.endCall(hosted, Outcome.OK);
    // the run is dropped without a cancel command, as when a connection loses a command
    host.end(hosted, Outcome.CANCELLED, 310_000);
    host.advance(20_000);
    assertEquals(RequestState.RUNNING, hosted.state);
    host.advance(40_000);
    host.end(hosted, Outcome.OK, 40_000);
    assertEquals(40_000, host.policy.learnedEstimates().runTimesUs()[0], 5_000);
  }

  @Test
  void timeAtCallsDoesNotRaiseExpectedRunTime() {
    SimulatedHost host = Scenarios.withDownstreamQuota(4, false, Scenarios.OPTIONAL_CALL);
    for (int i = 0; i < 60; i++) {
      SimulatedHost.HostedRequest hosted = host.arrive(0);
      host.advance(50_000);
      host.needCall(hosted);
      host.advance(i < 30 ? 20_000 : 400_000);
      host.endCall(hosted, Outcome.OK);
      host.advance(50_000);
      host.end(hosted, Outcome.OK, host.nowUs - hosted.arrivedUs);
    }
    // 200 ms remain for a run of 100 ms
    SimulatedHost.HostedRequest late = host.arrive(0, 0, 800_000, 0, 0);
    assertEquals(RequestState.RUNNING, late.state);
  }

  @Test
  void cancelledLongRunsRaiseExpectedRunTime() {
    SimulatedHost host =
        new SimulatedHost(
            TestSettings.withoutDownstream(
                CancelMode.PAUSE, LoadAdviceMode.LEVEL, 100_000, false, TestSettings.SAFE),
            1);
    // one run in three ends after 300 ms; the others are cancelled after 900 ms
    for (int i = 0; i < 60; i++) {
      SimulatedHost.HostedRequest hosted = host.arrive(0);
      if (i % 3 == 0) {
        host.advance(300_000);
        host.end(hosted, Outcome.OK, 300_000);
      } else {
        host.advance(900_000);
        host.callerCancels(hosted);
        host.end(hosted, Outcome.CANCELLED, 900_000);
      }
    }
    for (int i = 0; i < 4; i++) {
      host.arrive(0);
    }
    // 500 ms remain and all cores are busy: enough for a run of 300 ms, but not for the expected
    // 2100 ms of run time per completion
    SimulatedHost.HostedRequest late = host.arrive(0, 0, 500_000, 0, 0);
    assertEquals("reject", late.answer);
  }
}
