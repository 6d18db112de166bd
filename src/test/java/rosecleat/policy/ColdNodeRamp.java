package rosecleat.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * Simulates a cold node that warms up while callers send as many requests as their credit allows.
 */
final class ColdNodeRamp {
  private static final long STEP_US = 10_000;
  private static final double RUN_TIME_US = 250_000;
  private static final int MAX_REQUESTS = 2_000;

  private final SplittableRandom random;
  private final SimulatedHost host;

  private ColdNodeRamp(int seed) {
    random = new SplittableRandom(seed);
    host =
        new SimulatedHost(
            TestSettings.withoutDownstream(
                CancelMode.OFF, LoadAdviceMode.CREDIT, 100_000, true, TestSettings.SAFE),
            seed);
  }

  /**
   * Returns the highest mean number of concurrent runs of a cold node, taken over the time for
   * which it survives an overload, as a share of the number that it survives at that moment.
   */
  static double maxOverloadShare(int callers, int seed) {
    return new ColdNodeRamp(seed).maxOverloadShare(callers);
  }

  private double maxOverloadShare(int callers) {
    PolicySettings settings = host.settings;
    int window = (int) (settings.overloadDurationUs() / STEP_US);
    Deque<Integer> running = new ArrayDeque<>();
    double max = 0;
    for (long now = 0; now < settings.warmupUs(); now += STEP_US) {
      double warmShare =
          settings.coldCapacity() + (1 - settings.coldCapacity()) * now / settings.warmupUs();
      host.gauges.coreUtilisation = host.running().isEmpty() ? 0.2 : 1;
      host.advance(STEP_US);
      for (int caller = 0; caller < callers; caller++) {
        sendWithinCredit(caller);
      }
      completeRandomRuns(warmShare);
      running.add(host.running().size());
      if (running.size() > window) {
        running.remove();
      }
      if (running.size() == window) {
        double survivedRuns =
            settings.cores() * (1 + (settings.overloadMultiple() - 1) * warmShare);
        max = Math.max(max, mean(running) / survivedRuns);
      }
    }
    return max;
  }

  /** Sends requests of a caller until as many are outstanding as its credit allows. */
  private void sendWithinCredit(int caller) {
    host.callerId = caller;
    long outstanding =
        host.requests.values().stream()
            .filter(hosted -> hosted.request.callerId() == caller && hosted.awaitingResponse)
            .count();
    double allowed = host.loadAdvice - outstanding;
    while (allowed >= 1 && host.requests.size() < MAX_REQUESTS) {
      host.arrive(0);
      allowed--;
    }
  }

  private void completeRandomRuns(double warmShare) {
    for (SimulatedHost.HostedRequest hosted : host.running()) {
      double contention = Math.max(1, host.running().size() / 4.0);
      if (random.nextDouble() < warmShare * STEP_US / RUN_TIME_US / contention) {
        host.end(hosted, Outcome.OK, (long) RUN_TIME_US);
      }
    }
    host.requests.values().removeIf(hosted -> hosted.state == RequestState.COMPLETED);
  }

  private static double mean(Deque<Integer> values) {
    return values.stream().mapToInt(value -> value).average().orElse(0);
  }
}
