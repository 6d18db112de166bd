package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that every request is answered before its deadline. */
class DeadlineTest {
  @Test
  void everyRequestIsAnsweredBeforeItsDeadlineWhenNoRunEnds() {
    for (CancelMode cancelMode : CancelMode.values()) {
      SimulatedHost host =
          new SimulatedHost(
              TestSettings.with(
                  cancelMode,
                  LoadAdviceMode.OFF,
                  DownstreamMode.OFF,
                  0,
                  100_000,
                  false,
                  List.of(),
                  List.of(TestSettings.SAFE, TestSettings.KEYED, TestSettings.UNSAFE)),
              1);
      for (int i = 0; i < 30; i++) {
        host.arrive(i % 3);
      }
      SimulatedHost.HostedRequest first = host.requests.get(2L);
      host.arrive(1, 0, 0, 0, first.request.id());
      host.advance(4_000_000);
      assertTrue(host.requests.values().stream().noneMatch(hosted -> hosted.awaitingResponse));
    }
  }

  @Test
  void shorterTimeoutAppliesAndRequestReadAfterItsDeadlineIsAnswered() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    SimulatedHost.HostedRequest withTimeout = host.arrive(0, 0, 0, 300_000, 0);
    host.advance(300_000);
    assertFalse(withTimeout.awaitingResponse);
    host.arrive(0);
    SimulatedHost.HostedRequest readLate = host.arrive(0, 0, 9_000_000, 0, 0);
    host.advance(60_000);
    assertFalse(readLate.awaitingResponse);
  }

  @Test
  void requestWaitingForCallFailsBeforeItsDeadline() {
    PriorityClass calling =
        new PriorityClass(1, 0, 1_000_000, 0, 2_000_000, Idempotency.UNSAFE, 0, true, 0);
    SimulatedHost host = new SimulatedHost(TestSettings.sharedDownstream(1, calling), 1);
    for (int i = 0; i < 4; i++) {
      host.needCall(host.arrive(0));
    }
    host.advance(2_100_000);
    assertTrue(host.maxMeanCalls() <= 1);
    assertTrue(host.requests.values().stream().noneMatch(hosted -> hosted.awaitingResponse));
    assertTrue(host.requests.values().stream().allMatch(hosted -> hosted.answer.equals("fail")));
  }

  @Test
  void requestThatCannotFinishInTimeIsRejectedWhileOthersRun() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    for (int i = 0; i < 30; i++) {
      SimulatedHost.HostedRequest hosted = host.arrive(0);
      host.advance(400_000);
      host.end(hosted, Outcome.OK, 400_000);
    }
    host.arrive(0);
    // 300 ms remain for a run of 400 ms
    assertEquals("reject", host.arrive(0, 0, 700_000, 0, 0).answer);
    assertEquals(RequestState.RUNNING, host.arrive(0, 0, 500_000, 0, 0).state);
  }
}
