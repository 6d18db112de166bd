package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests sequences of legal and unexpected events. {@link SimulatedHost} asserts the invariants at
 * each action.
 */
class EventSequenceTest {
  @Test
  void unexpectedEventsAreIgnored() {
    SimulatedHost host = Scenarios.withDownstreamQuota(0.2, false, Scenarios.OPTIONAL_CALL);
    SimulatedHost.HostedRequest hosted = host.arrive(0);
    host.policy.callEnded(host.nowUs, hosted.request.id(), Outcome.OK, 1); // no call is outstanding
    host.needCall(hosted);
    host.policy.callNeeded(host.nowUs, hosted.request.id()); // the request already waits for a call
    host.drain(400_000);
    host.advance(500_000);
    assertFalse(hosted.awaitingResponse);
    host.end(hosted, Outcome.CANCELLED, 1);
    host.policy.callNeeded(host.nowUs, hosted.request.id());
    host.policy.callEnded(host.nowUs, hosted.request.id(), Outcome.TIMEOUT, 1);
    host.policy.cancelled(host.nowUs, hosted.request.id());
    host.policy.ended(host.nowUs, hosted.request.id(), Outcome.NOT_STARTED, 1);
    host.policy.ended(host.nowUs, 12345, Outcome.OK, 1);
    SimulatedHost.HostedRequest stale =
        host.arrive(0, 3, 9_000_000, 1, 0); // 1 us until the deadline, and an unknown tenant
    host.advance(60_000);
    assertFalse(stale.awaitingResponse);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7})
  void randomLegalEventsViolateNoInvariant(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedHost host = hostWithAllClasses(seed);
    for (int step = 0; step < 4000; step++) {
      host.gauges.coreUtilisation = random.nextDouble();
      host.gauges.runnable = host.running().size();
      host.advance(random.nextInt(step % 900 < 300 ? 10_000 : 40_000));
      if (step == 3700) {
        host.drain(3_000_000);
      }
      List<SimulatedHost.HostedRequest> started =
          host.requests.values().stream()
              .filter(
                  hosted ->
                      hosted.state != RequestState.COMPLETED && hosted.state != RequestState.QUEUED)
              .toList();
      started.forEach(hosted -> advanceRequest(host, hosted, random));
      arriveAtRandom(host, random);
      if (random.nextInt(10) == 0) {
        cancelOne(host, random);
      }
      host.requests.values().removeIf(hosted -> isLongCompleted(host, hosted));
    }
    host.advance(3_000_000);
    assertTrue(host.requests.values().stream().noneMatch(hosted -> hosted.awaitingResponse));
    assertTrue(host.actions.stream().filter(a -> a.startsWith("run")).count() > 500);
  }

  private static SimulatedHost hostWithAllClasses(long seed) {
    PriorityClass safe =
        new PriorityClass(1, 0.2, 800_000, 0, 2_500_000, Idempotency.SAFE, 0, true, 0.4);
    PriorityClass keyed =
        new PriorityClass(2, 0, 800_000, 0, 2_500_000, Idempotency.KEYED, 6_000_000, true, 0);
    PriorityClass unsafe =
        new PriorityClass(2, 0, 800_000, 0, 2_500_000, Idempotency.UNSAFE, 0, true, 0);
    return new SimulatedHost(
        TestSettings.with(
            pick(List.of(CancelMode.values()), seed % 3),
            pick(List.of(LoadAdviceMode.values()), seed % 4),
            DownstreamMode.SHARED,
            2,
            900,
            seed % 2 == 0,
            List.of(new TenantQuota(20), new TenantQuota(40)),
            List.of(safe, keyed, unsafe)),
        seed);
  }

  private static <T> T pick(List<T> choices, long number) {
    return choices.get((int) number);
  }

  private static void advanceRequest(
      SimulatedHost host, SimulatedHost.HostedRequest hosted, SplittableRandom random) {
    if (hosted.state == RequestState.COMPLETED) {
      return;
    }
    if ((hosted.cancelling && hosted.state == RequestState.RUNNING)
        || (hosted.state == RequestState.NEEDS_CALL && !hosted.awaitingResponse)) {
      host.end(hosted, Outcome.CANCELLED, 1);
    } else if (random.nextInt(12) == 0) {
      switch (hosted.state) {
        case RUNNING -> {
          if (random.nextInt(3) == 0) {
            host.needCall(hosted);
          } else {
            host.end(hosted, random.nextInt(9) == 0 ? Outcome.FAILED : Outcome.OK, 80_000);
          }
        }
        case CALLING -> host.endCall(hosted, pick(List.of(Outcome.values()), random.nextInt(6)));
        case ATTACHED -> host.end(hosted, Outcome.OK, 10_000);
        default -> {}
      }
    }
  }

  private static void arriveAtRandom(SimulatedHost host, SplittableRandom random) {
    long originalId = 0;
    int classIndex = random.nextInt(3);
    if (classIndex == 1 && random.nextInt(3) == 0) {
      originalId =
          host.keysUntilUs.entrySet().stream()
              .filter(key -> key.getValue() > host.nowUs + 100_000)
              .mapToLong(Map.Entry::getKey)
              .max()
              .orElse(0);
    }
    int tenant = random.nextInt(2);
    int ageUs = random.nextInt(4) == 0 ? random.nextInt(3_000_000) : 0;
    host.arrive(classIndex, tenant, ageUs, 0, originalId);
  }

  private static void cancelOne(SimulatedHost host, SplittableRandom random) {
    host.requests.values().stream()
        .filter(hosted -> hosted.awaitingResponse)
        .skip(random.nextInt(3))
        .findFirst()
        .ifPresent(host::callerCancels);
  }

  private static boolean isLongCompleted(SimulatedHost host, SimulatedHost.HostedRequest hosted) {
    return hosted.state == RequestState.COMPLETED && hosted.arrivedUs < host.nowUs - 20_000_000;
  }

  @Test
  void sameEventsProduceSameActions() {
    List<String> first = null;
    for (int pass = 0; pass < 2; pass++) {
      SimulatedHost host = Scenarios.warmedUp();
      host.gauges.coreUtilisation = 1;
      SplittableRandom random = new SplittableRandom(5);
      for (int i = 0; i < 500; i++) {
        host.arrive(random.nextInt(3));
        host.advance(random.nextInt(60_000));
        if (!host.running().isEmpty()) {
          host.end(host.running().get(0), Outcome.OK, 100_000);
        }
      }
      if (first == null) {
        first = host.actions;
      } else {
        assertEquals(first, host.actions);
      }
    }
  }
}
