package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that downstream calls stay within the quota and adapt to the call duration. */
class DownstreamCallTest {
  /**
   * Simulates requests of two classes, alternately, whose calls take {@code callUs} each, for 30 s.
   * Returns for each class the share of requests whose call was made and whose run continued.
   */
  private static double[] callsMade(SimulatedHost host, long everyUs, long callUs, int from) {
    return callsMade(host, everyUs, callUs, from, 30_000_000);
  }

  private static double[] callsMade(
      SimulatedHost host, long everyUs, long callUs, int from, long forUs) {
    double[] made = new double[2];
    double[] all = new double[2];
    for (int step = 0; step < forUs / everyUs; step++) {
      int classIndex = (step + from) % 2;
      SimulatedHost.HostedRequest hosted = host.arrive(classIndex);
      host.advance(everyUs / 4);
      host.needCall(hosted);
      for (long end = host.nowUs + callUs;
          host.nowUs < end
              && hosted.state == RequestState.CALLING
              && host.nowUs < hosted.callUntilUs; ) {
        host.advance(Math.min(10_000, end - host.nowUs));
      }
      all[classIndex]++;
      if (hosted.state == RequestState.CALLING) {
        host.endCall(hosted, host.nowUs < hosted.callUntilUs ? Outcome.OK : Outcome.TIMEOUT);
        made[classIndex] += hosted.state == RequestState.RUNNING && hosted.call == null ? 1 : 0;
      }
      host.advance(everyUs / 4);
      if (hosted.state == RequestState.RUNNING) {
        host.end(hosted, Outcome.OK, everyUs / 2 + callUs);
      } else if (hosted.state != RequestState.COMPLETED) {
        host.callerCancels(hosted);
        host.end(hosted, Outcome.CANCELLED, everyUs / 2);
      }
      host.advance(everyUs / 2);
    }
    return new double[] {made[0] / all[0], made[1] / all[1]};
  }

  @Test
  void callIsReleasedWhenItsRequestEndsFirst() {
    SimulatedHost host = Scenarios.withDownstreamQuota(1, false, Scenarios.OPTIONAL_CALL);
    // each caller cancels during the call, whose outcome is never reported
    for (int i = 0; i < 9; i++) {
      SimulatedHost.HostedRequest hosted = host.arrive(0);
      host.needCall(hosted);
      assertEquals(RequestState.CALLING, hosted.state, "call " + i);
      host.callerCancels(hosted);
      host.end(hosted, Outcome.CANCELLED, 1000);
      host.advance(300_000);
    }
  }

  @Test
  void noWindowExceedsCallQuota() {
    for (double quota : new double[] {0, 0.3, 1, 3}) {
      SplittableRandom random = new SplittableRandom(9);
      SimulatedHost host =
          Scenarios.withDownstreamQuota(
              quota,
              false,
              Scenarios.OPTIONAL_CALL,
              new PriorityClass(9, 0, 1_000_000, 0, 3_000_000, Idempotency.SAFE, 0, true, 0.6));
      host.gauges.coreUtilisation = 0.5;
      for (int step = 0; step < 3000; step++) {
        host.advance(10_000);
        // fast, slow and unresponsive dependency
        int slow = step % 1200 < 400 ? 3 : step % 1200 < 800 ? 40 : 400;
        if (random.nextInt(6) == 0) {
          host.arrive(random.nextInt(2));
        }
        for (SimulatedHost.HostedRequest hosted : List.copyOf(host.requests.values())) {
          advanceRequest(host, hosted, random, slow);
        }
        host.requests.values().removeIf(hosted -> hosted.state == RequestState.COMPLETED);
      }
      assertTrue(host.maxMeanCalls() <= quota, quota + " " + host.maxMeanCalls());
      assertTrue(quota == 0 || host.allCalls.size() > 20, "calls " + host.allCalls.size());
    }
  }

  private static void advanceRequest(
      SimulatedHost host, SimulatedHost.HostedRequest hosted, SplittableRandom random, int slow) {
    if ((hosted.cancelling && hosted.state == RequestState.RUNNING)
        || (hosted.state != RequestState.COMPLETED
            && !hosted.awaitingResponse
            && hosted.state != RequestState.RUNNING)) {
      host.end(hosted, Outcome.CANCELLED, 1);
    } else if (hosted.state == RequestState.RUNNING && random.nextInt(6) == 0) {
      if (random.nextInt(2) == 0) {
        host.needCall(hosted);
      } else {
        host.end(hosted, Outcome.OK, 60_000);
      }
    } else if (hosted.state == RequestState.CALLING && host.nowUs >= hosted.callUntilUs) {
      host.endCall(hosted, Outcome.TIMEOUT);
    } else if (hosted.state == RequestState.CALLING && random.nextInt(slow) == 0) {
      host.endCall(hosted, Outcome.OK);
    }
  }

  /**
   * Guards against a mandatory call that is never made. With many servers, a call that reserved the
   * time until its deadline exceeded the whole quota, and with the highest weight it blocked all
   * other calls.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.2, 0.91, 5, 500})
  void callsAreMadeWithAnyNonZeroQuota(double quota) {
    for (int first = 0; first < 2; first++) {
      SimulatedHost host =
          Scenarios.withDownstreamQuota(
              quota, false, Scenarios.LESS_WITHOUT_CALL, Scenarios.NOTHING_WITHOUT_CALL);
      double[] made = callsMade(host, 400_000, 40_000, first);
      assertTrue(made[0] > 0.95 && made[1] > 0.95, quota + ": " + made[0] + " " + made[1]);
      assertTrue(host.maxMeanCalls() <= quota);
    }
  }

  /**
   * Guards against a slow period after which the typical call duration, and with it the time that a
   * call reserves, exceeds the quota permanently.
   */
  @Test
  void callsResumeAfterSlowDependencyWithSmallQuota() {
    SimulatedHost host =
        Scenarios.withDownstreamQuota(
            0.91, false, Scenarios.LESS_WITHOUT_CALL, Scenarios.NOTHING_WITHOUT_CALL);
    callsMade(host, 400_000, 40_000, 0);
    callsMade(host, 400_000, 2_500_000, 0);
    double[] made = callsMade(host, 400_000, 40_000, 0);
    assertTrue(made[0] > 0.9 && made[1] > 0.9, made[0] + " " + made[1]);
    assertTrue(host.maxMeanCalls() <= 0.91);
  }

  /**
   * Guards against a stall of the dependency that uses up the quota of a window, although many
   * short calls would fit into it after the stall.
   */
  @Test
  void shortCallsFitIntoSameWindowAfterDependencyStall() {
    SimulatedHost host =
        Scenarios.withDownstreamQuota(
            0.91, false, Scenarios.LESS_WITHOUT_CALL, Scenarios.NOTHING_WITHOUT_CALL);
    callsMade(host, 400_000, 30_000, 0);
    for (int i = 0; i < 4; i++) { // four calls stall until they time out
      SimulatedHost.HostedRequest hosted = host.arrive(0);
      host.needCall(hosted);
      assertEquals(RequestState.CALLING, hosted.state);
      host.advance(hosted.callUntilUs - host.nowUs);
      host.endCall(hosted, Outcome.TIMEOUT);
      host.callerCancels(hosted);
      host.end(hosted, Outcome.CANCELLED, 500_000);
    }
    double[] made = callsMade(host, 200_000, 30_000, 0, 3_000_000);
    assertTrue(made[0] > 0.7 && made[1] > 0.7, made[0] + " " + made[1]);
    assertTrue(host.maxMeanCalls() <= 0.91);
  }

  /**
   * Guards against an overload of the dependency by one call from each of a hundred servers. The
   * phases are calls of 20 ms, calls of 100 ms until the limiter reacts, and further calls of 100
   * ms.
   */
  @Test
  void slowCallsAreSpacedOutWithSmallQuota() {
    SimulatedHost host = Scenarios.withDownstreamQuota(0.91, false, Scenarios.LESS_WITHOUT_CALL);
    Set<SimulatedHost.HostedRequest> asked = new HashSet<>();
    long[] occupiedPercent = new long[3];
    for (int phase = 0; phase < 3; phase++) {
      int before = host.allCalls.size();
      long began = host.nowUs;
      for (int step = 0; step < (phase == 0 ? 600 : 75); step++) {
        if (step % 4 == 0) {
          host.arrive(0);
        }
        for (SimulatedHost.HostedRequest hosted : List.copyOf(host.requests.values())) {
          if (hosted.state == RequestState.RUNNING && asked.add(hosted)) {
            host.needCall(hosted);
          } else if (hosted.state == RequestState.CALLING
              && host.nowUs >= hosted.call.startedUs + (phase == 0 ? 20_000 : 100_000)) {
            host.endCall(hosted, Outcome.OK);
          } else if (hosted.state == RequestState.RUNNING) {
            host.end(hosted, hosted.awaitingResponse ? Outcome.OK : Outcome.CANCELLED, 50_000);
          }
        }
        host.requests.values().removeIf(hosted -> hosted.state == RequestState.COMPLETED);
        host.advance(20_000);
      }
      occupiedPercent[phase] =
          host.allCalls.subList(before, host.allCalls.size()).stream()
                  .mapToLong(o -> Math.min(o.untilUs, host.nowUs) - o.startedUs)
                  .sum()
              * 100
              / (host.nowUs - began);
    }
    // one call per 80 ms, each of 20 ms or slightly more
    assertTrue(
        occupiedPercent[0] > 15,
        "percent of the time with a call outstanding, fast calls: " + occupiedPercent[0]);
    // the same number of slow calls would be 125
    assertTrue(
        occupiedPercent[2] > 10 && occupiedPercent[2] < 60,
        "percent of the time with a call outstanding, slow calls: " + occupiedPercent[2]);
  }

  /**
   * Guards against a quota so small that not even one short call fits into the quota of a window:
   * one call per many windows must still be made, and not by all servers at the same time.
   */
  @Test
  void quotaTooSmallForOneCallIsAppliedOverLongerWindow() {
    Set<Long> firsts = new HashSet<>();
    for (int seed = 1; seed <= 8; seed++) {
      SimulatedHost host =
          new SimulatedHost(
              TestSettings.sharedDownstream(0.02, Scenarios.NOTHING_WITHOUT_CALL), seed);
      int made = 0;
      // 60 s allow 1.2 s of call time, and each call reserves at least 0.4 s
      for (int step = 0; step < 200; step++) {
        SimulatedHost.HostedRequest hosted = host.arrive(0);
        host.needCall(hosted);
        host.advance(40_000);
        if (hosted.state == RequestState.CALLING) {
          made++;
          firsts.add(host.nowUs);
          host.endCall(hosted, Outcome.OK);
          host.end(hosted, Outcome.OK, 50_000);
        } else {
          host.callerCancels(hosted);
          host.end(hosted, Outcome.CANCELLED, 50_000);
        }
        host.advance(260_000);
      }
      assertTrue(made >= 2 && made <= 30, "calls " + made);
    }
    assertTrue(firsts.size() > 8, "servers make their calls at the same times: " + firsts);
  }

  @Test
  void optionalCallTimesOutInTimeForResponseWithoutIt() {
    SimulatedHost host = Scenarios.withDownstreamQuota(4, false, Scenarios.OPTIONAL_CALL);
    for (int i = 0; i < 20; i++) {
      SimulatedHost.HostedRequest hosted = host.arrive(0);
      host.advance(200_000);
      host.end(hosted, Outcome.OK, 200_000);
    }
    SimulatedHost.HostedRequest hosted = host.arrive(0);
    long began = host.nowUs;
    host.advance(100_000);
    host.needCall(hosted);
    assertTrue(
        hosted.callUntilUs < began + 1_000_000 - 50_000, "until " + (hosted.callUntilUs - began));
    host.nowUs = hosted.callUntilUs;
    host.endCall(hosted, Outcome.TIMEOUT);
    assertEquals(RequestState.RUNNING, hosted.state);
  }

  /** Guards against an overload of a shared dependency whose throughput falls under concurrency. */
  @Test
  void callLimitFallsWhileCallsAreSlowAndRisesAfterwards() {
    SimulatedHost host = Scenarios.withDownstreamQuota(40, false, Scenarios.OPTIONAL_CALL);
    host.gauges.coreUtilisation = 0.5;
    Set<SimulatedHost.HostedRequest> called = new HashSet<>();
    int maxOutstanding = 0;
    for (int step = 0; step < 900; step++) {
      long length = step >= 300 && step < 600 ? 400_000 : 20_000;
      maxOutstanding = step == 360 || step == 550 ? 0 : maxOutstanding;
      host.arrive(0);
      for (SimulatedHost.HostedRequest hosted : List.copyOf(host.requests.values())) {
        if (hosted.state == RequestState.RUNNING && called.add(hosted)) {
          host.needCall(hosted);
        } else if (hosted.state == RequestState.RUNNING) {
          host.end(
              hosted,
              hosted.cancelling && !hosted.awaitingResponse ? Outcome.CANCELLED : Outcome.OK,
              2_000);
        } else if (hosted.state == RequestState.CALLING
            && host.nowUs >= hosted.call.startedUs + length) {
          host.endCall(hosted, Outcome.OK);
        }
      }
      host.requests.values().removeIf(hosted -> hosted.state == RequestState.COMPLETED);
      maxOutstanding = Math.max(maxOutstanding, host.outstandingCalls);
      if (step == 380) {
        // without a limit, 50 calls per second of 0.4 s each would be 20 outstanding calls
        assertTrue(
            maxOutstanding <= 4, "outstanding calls at a slow dependency: " + maxOutstanding);
      } else if (step == 599) {
        assertTrue(
            maxOutstanding >= 8,
            "outstanding calls at a dependency that is slow at any concurrency: " + maxOutstanding);
      }
      host.advance(20_000);
    }
    assertFourCallsAreMadeForEightArrivals(host);
  }

  private static void assertFourCallsAreMadeForEightArrivals(SimulatedHost host) {
    int actionsBefore = host.actions.size();
    for (int i = 0; i < 8; i++) {
      host.arrive(0);
    }
    host.running().forEach(host::needCall);
    host.advance(400_000); // the limit rises by one call per step
    assertEquals(
        4,
        host.actions.subList(actionsBefore, host.actions.size()).stream()
            .filter(a -> a.startsWith("call"))
            .count());
  }

  /**
   * Guards against fast rejections that count as short calls. A dependency whose slots are occupied
   * by slow calls rejects further calls at once.
   */
  @Test
  void rejectedCallsLowerLimitButNotTypicalDuration() {
    SimulatedHost host = Scenarios.withDownstreamQuota(40, false, Scenarios.OPTIONAL_CALL);
    for (int i = 0; i < 60; i++) {
      SimulatedHost.HostedRequest hosted = host.arrive(0);
      host.advance(10_000);
      host.needCall(hosted);
      host.advance(i < 30 ? 30_000 : 1_000);
      host.endCall(hosted, i < 30 ? Outcome.OK : Outcome.REJECTED);
      // the policy retries a rejected call once, as it never ran
      if (hosted.state == RequestState.CALLING) {
        host.advance(1_000);
        host.endCall(hosted, Outcome.REJECTED);
      }
      host.advance(5_000);
      host.end(hosted, Outcome.OK, host.nowUs - hosted.arrivedUs);
    }
    host.advance(200_000);
    for (int i = 0; i < 4; i++) {
      host.needCall(host.arrive(0));
    }
    assertEquals(2, host.outstandingCalls);
    assertTrue(
        host.requests.values().stream()
            .filter(hosted -> hosted.state == RequestState.CALLING)
            .allMatch(hosted -> hosted.callUntilUs - host.nowUs > 100_000),
        "call times out after the duration of a rejection");
    host.advance(250_000); // no more rejections, so the limit rises by one call per step
    assertEquals(4, host.outstandingCalls);
  }

  @Test
  void shortFirstCallDoesNotLowerLimit() {
    SimulatedHost host = Scenarios.withDownstreamQuota(40, false, Scenarios.OPTIONAL_CALL);
    for (int i = 0; i < 60; i++) {
      SimulatedHost.HostedRequest hosted = host.arrive(0);
      host.advance(10_000);
      host.needCall(hosted);
      host.advance(i == 0 ? 3_000 : 30_000);
      host.endCall(hosted, Outcome.OK);
      host.end(hosted, Outcome.OK, host.nowUs - hosted.arrivedUs);
    }
    for (int i = 0; i < 4; i++) {
      host.needCall(host.arrive(0));
    }
    assertEquals(4, host.outstandingCalls);
  }

  @Test
  void everyCallIsSkippedAndEveryRequestAnsweredWithZeroQuota() {
    SimulatedHost host =
        Scenarios.withDownstreamQuota(
            0,
            false,
            Scenarios.OPTIONAL_CALL,
            new PriorityClass(1, 0, 1_000_000, 0, 3_000_000, Idempotency.SAFE, 0, true, 0));
    SimulatedHost.HostedRequest optional = host.arrive(0);
    SimulatedHost.HostedRequest mandatory = host.arrive(1);
    host.needCall(optional);
    host.needCall(mandatory);
    host.advance(1_000_000);
    assertEquals(RequestState.RUNNING, optional.state);
    host.advance(2_000_000);
    assertFalse(mandatory.awaitingResponse);
    assertTrue(host.allCalls.isEmpty());
  }
}
