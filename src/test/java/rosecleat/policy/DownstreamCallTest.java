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

/** Downstream calls keep to the quota and follow the length of calls. */
class DownstreamCallTest {
  /**
   * Plays calls that take so long, until 30 s have passed; the parts of the two classes whose call
   * was made.
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
    for (int i = 0; i < 9; i++) { // each caller leaves while its call is out: no outcome ever comes
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
        int slow =
            step % 1200 < 400
                ? 3
                : step % 1200 < 800 ? 40 : 400; // lulls, crowds and a dead dependency
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
   * Guards a class that is worth nothing without its call: booked until its deadline such a call
   * was more than the whole quota where servers are many, so it was never made, and being the
   * dearest kept all others back.
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

  /** Guards against a slow time after which the usual patience is more than the quota, for good. */
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
   * Guards against a stall that uses up the quota: calls are short again, and there is room for
   * many of them.
   */
  @Test
  void shortCallsFitIntoSameWindowAfterDependencyStall() {
    SimulatedHost host =
        Scenarios.withDownstreamQuota(
            0.91, false, Scenarios.LESS_WITHOUT_CALL, Scenarios.NOTHING_WITHOUT_CALL);
    callsMade(host, 400_000, 30_000, 0);
    for (int i = 0; i < 4; i++) { // four calls stall until they are given up
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
   * Guards a dependency against one call from each of a hundred servers: together they are a jam.
   */
  @Test
  void slowCallsAreSpacedOutWithSmallQuota() {
    SimulatedHost host = Scenarios.withDownstreamQuota(0.91, false, Scenarios.LESS_WITHOUT_CALL);
    Set<SimulatedHost.HostedRequest> asked = new HashSet<>();
    long[] occupiedPercent = new long[3];
    for (int phase = 0;
        phase < 3;
        phase++) { // as fast as usual; five times as slow, until that is seen; and then
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
    assertTrue(
        occupiedPercent[0] > 15,
        "fast, hundredths of a call out: "
            + occupiedPercent[0]); // one each 80 ms, of 20 ms or a little more
    assertTrue(
        occupiedPercent[2] > 10 && occupiedPercent[2] < 60,
        "slow, hundredths of a call out: " + occupiedPercent[2]); // that many would be 125
  }

  /**
   * Where not even one short call fits into the quota of a span, some are made all the same: one in
   * many spans.
   */
  @Test
  void quotaTooSmallForOneCallIsAppliedOverLongerWindow() {
    Set<Long> firsts = new HashSet<>();
    for (int seed = 1; seed <= 8; seed++) {
      SimulatedHost host =
          new SimulatedHost(
              TestSettings.sharedDownstream(0.02, Scenarios.NOTHING_WITHOUT_CALL), seed);
      int made = 0;
      for (int step = 0;
          step < 200;
          step++) { // 60 s: 1.2 s at calls, of which each books 0.4 s or more
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
    assertTrue(firsts.size() > 8, "servers call in step: " + firsts);
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

  /** Guards a shared dependency that gets less done the more it holds. */
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
        assertTrue(
            maxOutstanding <= 4,
            "a slow dependency held " + maxOutstanding); // 50 a second that take 0.4 s would be 20
      } else if (step == 599) {
        assertTrue(maxOutstanding >= 8, "slow however few were out, it held " + maxOutstanding);
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
    host.advance(400_000); // one more each step
    assertEquals(
        4,
        host.actions.subList(actionsBefore, host.actions.size()).stream()
            .filter(a -> a.startsWith("call"))
            .count());
  }

  /**
   * Guards a dependency whose places are taken by calls that crawl: it turns others away within a
   * moment.
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
      if (hosted.state == RequestState.CALLING) { // once more, as it never ran
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
        "given up after the time of a refusal");
    host.advance(250_000); // nothing is turned away any more: one more goes each step
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
