package rosecleat.policy;

import java.util.List;

/** Hosts and request classes that several tests start from. */
final class Scenarios {
  /** An answer without the call has half of the weight. */
  static final PriorityClass OPTIONAL_CALL =
      new PriorityClass(1, 0, 1_000_000, 0, 3_000_000, Idempotency.SAFE, 0, true, 0.5);

  static final PriorityClass LESS_WITHOUT_CALL =
      new PriorityClass(1, 0, 5_000_000, 0, 17_000_000, Idempotency.SAFE, 0, true, 0.3);

  static final PriorityClass NOTHING_WITHOUT_CALL =
      new PriorityClass(1, 0, 3_800_000, 0, 12_800_000, Idempotency.KEYED, 18_000_000, true, 0);

  private Scenarios() {}

  static SimulatedHost withDownstreamQuota(
      double concurrentCalls, boolean cold, PriorityClass... classes) {
    return new SimulatedHost(
        TestSettings.with(
            CancelMode.PAUSE,
            LoadAdviceMode.LEVEL,
            DownstreamMode.SHARED,
            concurrentCalls,
            100_000,
            cold,
            List.of(),
            List.of(classes)),
        1);
  }

  /** Returns a host with {@code arrivals} requests, of which all started ones wait for a call. */
  static SimulatedHost allWaitingForCalls(int arrivals, boolean cold) {
    SimulatedHost host = withDownstreamQuota(40, cold, OPTIONAL_CALL);
    host.gauges.coreUtilisation = 0.3;
    for (int i = 0; i < arrivals; i++) {
      host.arrive(0);
      host.running().forEach(host::needCall);
      host.advance(5_000);
    }
    return host;
  }

  static SimulatedHost warmedUp() {
    return warmedUp(100_000);
  }

  static SimulatedHost warmedUp(long runTimeUs) {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    for (int i = 0; i < 30; i++) {
      host.end(host.arrive(i % 3), Outcome.OK, runTimeUs);
      host.advance(100_000);
    }
    return host;
  }
}
