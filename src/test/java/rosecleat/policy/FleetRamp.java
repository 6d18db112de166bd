package rosecleat.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Simulates the total load of a fleet whose processes do not communicate: on a downstream
 * dependency that is unreachable and restarts cold, and, as callers, on one cold card node. {@code
 * main} prints the table that docs/measurements contains.
 */
final class FleetRamp {
  private static final long STEP_US = 10_000;
  private static final long WINDOW_US = 5_000_000;

  /**
   * The dependency is reachable, then unreachable from this time to {@link #OUTAGE_END_US}. It
   * restarts cold: its calls take {@link #COLD_SLOWDOWN} times as long at first, and it is warm
   * after {@link #WARMUP_US}.
   */
  private static final long OUTAGE_START_US = 10_000_000;

  private static final long OUTAGE_END_US = 16_000_000;
  private static final long WARMUP_US = 15_000_000;
  private static final long END_US = 36_000_000;
  private static final double COLD_SLOWDOWN = 10;
  private static final long CALL_US = 30_000;
  private static final long EXTRA_RUN_TIME_US = 20_000;

  /**
   * The load of a fleet on the dependency.
   *
   * @param maxMeanCalls highest mean number of outstanding calls in one window
   * @param budget bound of that mean (calls): the sum of the quotas
   * @param calls number of calls made
   */
  record DownstreamLoad(double maxMeanCalls, double budget, int calls) {
    /** Returns the highest mean that the operators attribute to chance beyond the budget. */
    double allowed() {
      return budget + 2 * Math.sqrt(budget) + 2;
    }
  }

  private FleetRamp() {}

  /**
   * Simulates processes that share a dependency, each with its quota of concurrent calls. The
   * dependency survives the sum of the quotas as the mean number of concurrent calls.
   */
  static DownstreamLoad downstreamLoad(int processes, double quota, int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<SimulatedHost> fleet = new ArrayList<>();
    for (int i = 0; i < processes; i++) {
      SimulatedHost host = new SimulatedHost(settings(quota), random.nextLong());
      host.gauges.coreUtilisation = 0.5;
      fleet.add(host);
    }
    Map<SimulatedHost.HostedRequest, Long> callEnds = new HashMap<>();
    Map<SimulatedHost.HostedRequest, Long> runStarts = new HashMap<>();
    for (long now = 0; now < END_US; now += STEP_US) {
      for (SimulatedHost host : fleet) {
        step(host, now, random, callEnds, runStarts);
      }
    }
    int calls = fleet.stream().mapToInt(host -> host.allCalls.size()).sum();
    return new DownstreamLoad(maxMeanCalls(fleet), processes * quota, calls);
  }

  private static PolicySettings settings(double quota) {
    return TestSettings.with(
        CancelMode.DROP,
        LoadAdviceMode.CREDIT,
        DownstreamMode.SHARED,
        quota,
        100_000,
        false,
        List.of(),
        List.of(Scenarios.LESS_WITHOUT_CALL, Scenarios.NOTHING_WITHOUT_CALL));
  }

  private static double maxMeanCalls(List<SimulatedHost> fleet) {
    double max = 0;
    for (long at = WINDOW_US; at < END_US; at += 50_000) {
      double occupied = 0;
      for (SimulatedHost host : fleet) {
        for (SimulatedHost.OutstandingCall call : host.allCalls) {
          long from = Math.max(call.startedUs, at - WINDOW_US);
          occupied += Math.max(0, Math.min(at, call.untilUs) - from);
        }
      }
      max = Math.max(max, occupied / WINDOW_US);
    }
    return max;
  }

  private static void step(
      SimulatedHost host,
      long now,
      SplittableRandom random,
      Map<SimulatedHost.HostedRequest, Long> callEnds,
      Map<SimulatedHost.HostedRequest, Long> runStarts) {
    host.advance(STEP_US);
    // about twelve requests per second, the rate of one node of the fleet
    if (random.nextInt(8) == 0) {
      host.arrive(random.nextInt(2));
    }
    for (SimulatedHost.HostedRequest hosted : List.copyOf(host.requests.values())) {
      switch (hosted.state) {
        case RUNNING -> runStep(host, hosted, random, runStarts);
        case CALLING -> callStep(host, hosted, now, callEnds);
        default -> {
          if (!hosted.awaitingResponse && hosted.state != RequestState.COMPLETED) {
            host.end(hosted, Outcome.CANCELLED, 1);
          }
        }
      }
    }
    host.requests.values().removeIf(hosted -> hosted.state == RequestState.COMPLETED);
  }

  private static void runStep(
      SimulatedHost host,
      SimulatedHost.HostedRequest hosted,
      SplittableRandom random,
      Map<SimulatedHost.HostedRequest, Long> runStarts) {
    if (hosted.cancelling) {
      host.end(hosted, Outcome.CANCELLED, 1);
    } else if (hosted.call == null && hosted.callUntilUs == 0) {
      runStarts.put(hosted, host.nowUs);
      host.needCall(hosted); // each run makes one call, at its start
    } else if (random.nextInt(10) == 0) {
      host.end(
          hosted,
          hosted.awaitingResponse ? Outcome.OK : Outcome.CANCELLED,
          host.nowUs - runStarts.remove(hosted) + EXTRA_RUN_TIME_US);
    }
  }

  private static void callStep(
      SimulatedHost host,
      SimulatedHost.HostedRequest hosted,
      long now,
      Map<SimulatedHost.HostedRequest, Long> callEnds) {
    if (now >= OUTAGE_START_US && now < OUTAGE_END_US) {
      callEnds.remove(hosted);
      host.endCall(hosted, Outcome.UNREACHABLE);
      return;
    }
    double coldShare =
        now < OUTAGE_END_US ? 0 : Math.max(0, 1 - (now - OUTAGE_END_US) / (double) WARMUP_US);
    long end =
        callEnds.computeIfAbsent(
            hosted, x -> now + (long) (CALL_US * (1 + (COLD_SLOWDOWN - 1) * coldShare)));
    if (now >= Math.min(end, hosted.callUntilUs)) {
      callEnds.remove(hosted);
      host.endCall(hosted, now >= end ? Outcome.OK : Outcome.TIMEOUT);
    }
  }

  public static void main(String[] args) {
    System.out.println(
        "| processes | quota of each | budget N | highest mean of calls, worst of 3 seeds |"
            + " N + 2 sqrt(N) + 2 | calls |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (int processes : new int[] {20, 30}) {
      for (double quota : new double[] {0.02, 0.05, 0.3, 1, 5}) {
        DownstreamLoad worst = null;
        for (int seed = 1; seed <= 3; seed++) {
          DownstreamLoad load = downstreamLoad(processes, quota, seed);
          worst = worst == null || load.maxMeanCalls() > worst.maxMeanCalls() ? load : worst;
        }
        System.out.printf(
            "| %d | %.2f | %.1f | %.2f | %.1f | %d |%n",
            processes, quota, worst.budget(), worst.maxMeanCalls(), worst.allowed(), worst.calls());
      }
    }
    for (int callers : new int[] {4, 20, 30}) {
      System.out.printf(
          "cold node, %d callers: at most %.2f of what it survives, as the mean over the time"
              + " that it survives an overload%n",
          callers, ColdNodeRamp.maxOverloadShare(callers, 1));
    }
  }
}
