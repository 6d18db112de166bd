package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that requests that are not safe to repeat run at most once. */
class IdempotencyTest {
  @Test
  void retryOfKeyedRequestAttachesWhileOriginalIsQueuedRunningOrCompleted() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    SimulatedHost.HostedRequest a = host.arrive(1);
    SimulatedHost.HostedRequest running = host.arrive(1, 0, 0, 0, a.request.id());
    assertEquals(RequestState.ATTACHED, running.state);
    host.end(a, Outcome.OK, 50_000);
    SimulatedHost.HostedRequest after = host.arrive(1, 0, 0, 0, a.request.id());
    assertEquals(RequestState.ATTACHED, after.state);
    for (int i = 0; i < 4; i++) {
      host.arrive(0);
    }
    SimulatedHost.HostedRequest queued = host.arrive(1);
    assertEquals(RequestState.QUEUED, queued.state);
    assertEquals(RequestState.ATTACHED, host.arrive(1, 0, 0, 0, queued.request.id()).state);
  }

  @Test
  void retryOfRequestCancelledWhileQueuedRunsOnce() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    for (int i = 0; i < 4; i++) {
      host.arrive(0);
    }
    SimulatedHost.HostedRequest a = host.arrive(1);
    host.callerCancels(a);
    SimulatedHost.HostedRequest b = host.arrive(1, 0, 0, 0, a.request.id());
    assertEquals(RequestState.QUEUED, b.state);
    host.end(host.running().get(0), Outcome.OK, 1000);
    assertEquals(RequestState.RUNNING, b.state);
    assertEquals(RequestState.ATTACHED, host.arrive(1, 0, 0, 0, b.request.id()).state);
  }

  @Test
  void retryOfFailedOrUnknownExecutionNeverRuns() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    SimulatedHost.HostedRequest a = host.arrive(1);
    host.end(a, Outcome.FAILED, 1000);
    assertFalse(host.arrive(1, 0, 0, 0, a.request.id()).executed);
    SimulatedHost.HostedRequest lost = new SimulatedHost.HostedRequest();
    lost.request = new PolicyRequest(999, 1, 0, 7, 0, 0, 10, 0.5, false, false, 1, 0, 0);
    lost.executed = true;
    host.requests.put(999L, lost);
    lost.awaitingResponse = false;
    lost.state = RequestState.COMPLETED;
    assertFalse(host.arrive(1, 0, 0, 0, 999).executed);
  }

  @Test
  void keyedRequestIsRejectedWhenMemoryForKeysIsFull() {
    SimulatedHost host =
        new SimulatedHost(
            TestSettings.withoutDownstream(
                CancelMode.DROP,
                LoadAdviceMode.OFF,
                300,
                false,
                TestSettings.SAFE,
                TestSettings.KEYED),
            1);
    int rejected = 0;
    for (int i = 0; i < 30; i++) {
      SimulatedHost.HostedRequest hosted = host.arrive(1);
      rejected += hosted.answer.equals("reject") ? 1 : 0;
      if (hosted.state == RequestState.RUNNING) {
        host.end(hosted, Outcome.OK, 1000);
      }
    }
    assertTrue(rejected > 10);
  }

  @Test
  void unsafeRequestWhoseRunWasDroppedFailsAndIsNotRunAgain() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    SimulatedHost.HostedRequest a = host.arrive(2);
    host.end(a, Outcome.CANCELLED, 1000);
    host.advance(40_000);
    assertEquals("fail", a.answer);
  }

  @Test
  void callOfUnsafeRequestIsRetriedOnlyIfItNeverRan() {
    PriorityClass calling =
        new PriorityClass(1, 0, 1_000_000, 0, 2_000_000, Idempotency.UNSAFE, 0, true, 0);
    SimulatedHost host = new SimulatedHost(TestSettings.sharedDownstream(4, calling), 1);
    SimulatedHost.HostedRequest a = host.arrive(0);
    host.needCall(a);
    host.endCall(a, Outcome.REJECTED);
    assertEquals(RequestState.CALLING, a.state);
    host.endCall(a, Outcome.TIMEOUT);
    assertEquals("fail", a.answer);
  }
}
