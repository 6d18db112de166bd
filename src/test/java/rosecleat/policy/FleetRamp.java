package rosecleat.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A fleet of modules that hear nothing of each other, and what they send together: to a dependency
 * below that was away and comes back cold, and as callers to one cold card node. {@code main}
 * prints the table that docs/measurements keeps.
 */
final class FleetRamp {
  private static final long STEP_US = 10_000;
  private static final long SPAN_US = 5_000_000;

  /**
   * The dependency works, is away, and is back; cold ones take so many times as long at first, and
   * are warm after RAMP_US.
   */
  private static final long AWAY_FROM_US = 10_000_000;

  private static final long BACK_US = 16_000_000;
  private static final long RAMP_US = 15_000_000;
  private static final long END_US = 36_000_000;
  private static final double COLD_TIMES = 10;
  private static final long CALL_US = 30_000;
  private static final long WORK_US = 20_000;

  private static final PriorityClass LESS =
      new PriorityClass(1, 0, 5_000_000, 0, 17_000_000, Idempotency.SAFE, 0, true, 0.3);
  private static final PriorityClass NOTHING =
      new PriorityClass(1, 0, 3_800_000, 0, 12_800_000, Idempotency.KEYED, 18_000_000, true, 0);

  /**
   * What a fleet sent below: the largest mean of calls held in one span, and its bound; both in
   * calls.
   */
  record Below5s(double most, double budget, int calls) {
    /** What the operators put down to chance beyond a budget. */
    double allowed() {
      return budget + 2 * Math.sqrt(budget) + 2;
    }
  }

  private FleetRamp() {}

  /**
   * Plays so many processes that share a dependency which survives so many calls in the mean, each
   * with its part.
   */
  static Below5s below(int processes, double share, int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<SimulatedHost> fleet = new ArrayList<>();
    for (int i = 0; i < processes; i++) {
      SimulatedHost host =
          new SimulatedHost(
              Sites.with(
                  CancelMode.DROP,
                  LoadAdviceMode.CREDIT,
                  DownstreamMode.SHARED,
                  share,
                  100_000,
                  false,
                  List.of(),
                  List.of(LESS, NOTHING)),
              random.nextLong());
      host.gauges.coreUtilisation = 0.5;
      fleet.add(host);
    }
    Map<SimulatedHost.HostedRequest, Long> ends =
        new HashMap<>(); // of calls, and the beginnings of runs
    Map<SimulatedHost.HostedRequest, Long> began = new HashMap<>();
    for (long now = 0; now < END_US; now += STEP_US) {
      for (SimulatedHost host : fleet) {
        step(host, now, random, ends, began);
      }
    }
    double most = 0;
    int calls = 0;
    for (long at = SPAN_US; at < END_US; at += 50_000) {
      double held = 0;
      for (SimulatedHost host : fleet) {
        for (SimulatedHost.OutstandingCall out : host.allCalls) {
          held += Math.max(0, Math.min(at, out.untilUs) - Math.max(out.startedUs, at - SPAN_US));
        }
      }
      most = Math.max(most, held / SPAN_US);
    }
    for (SimulatedHost host : fleet) {
      calls += host.allCalls.size();
    }
    return new Below5s(most, processes * share, calls);
  }

  private static void step(
      SimulatedHost host,
      long now,
      SplittableRandom random,
      Map<SimulatedHost.HostedRequest, Long> ends,
      Map<SimulatedHost.HostedRequest, Long> began) {
    host.advance(STEP_US);
    if (random.nextInt(8) == 0) { // some twelve a second, as many as one node of the fleet is sent
      host.arrive(random.nextInt(2));
    }
    for (SimulatedHost.HostedRequest hosted : List.copyOf(host.requests.values())) {
      switch (hosted.state) {
        case RUNNING -> run(host, hosted, random, began);
        case CALLING -> call(host, hosted, now, ends);
        default -> {
          if (!hosted.awaitingResponse && hosted.state != RequestState.COMPLETED) {
            host.end(hosted, Outcome.CANCELLED, 1);
          }
        }
      }
    }
    host.requests.values().removeIf(hosted -> hosted.state == RequestState.COMPLETED);
  }

  private static void run(
      SimulatedHost host,
      SimulatedHost.HostedRequest hosted,
      SplittableRandom random,
      Map<SimulatedHost.HostedRequest, Long> began) {
    if (hosted.cancelling) {
      host.end(hosted, Outcome.CANCELLED, 1);
    } else if (hosted.call == null && hosted.callUntilUs == 0) {
      began.put(hosted, host.nowUs);
      host.needCall(hosted); // each run calls once, at once
    } else if (random.nextInt(10) == 0) {
      host.end(
          hosted,
          hosted.awaitingResponse ? Outcome.OK : Outcome.CANCELLED,
          host.nowUs - began.remove(hosted) + WORK_US);
    }
  }

  private static void call(
      SimulatedHost host,
      SimulatedHost.HostedRequest hosted,
      long now,
      Map<SimulatedHost.HostedRequest, Long> ends) {
    if (now >= AWAY_FROM_US && now < BACK_US) {
      ends.remove(hosted);
      host.endCall(hosted, Outcome.UNREACHABLE);
      return;
    }
    double cold = now < BACK_US ? 0 : Math.max(0, 1 - (now - BACK_US) / (double) RAMP_US);
    long end =
        ends.computeIfAbsent(hosted, x -> now + (long) (CALL_US * (1 + (COLD_TIMES - 1) * cold)));
    if (now >= Math.min(end, hosted.callUntilUs)) {
      ends.remove(hosted);
      host.endCall(hosted, now >= end ? Outcome.OK : Outcome.TIMEOUT);
    }
  }

  /**
   * The largest mean over the overload's time of what a cold node ran, as a part of what it
   * survives at that moment.
   */
  static double cold(int callers, int seed) {
    SimulatedHost host =
        new SimulatedHost(
            Sites.with(
                CancelMode.OFF,
                LoadAdviceMode.CREDIT,
                DownstreamMode.OFF,
                0,
                100_000,
                true,
                List.of(),
                List.of(Sites.SAFE)),
            seed);
    SplittableRandom random = new SplittableRandom(seed);
    List<Integer> running = new ArrayList<>();
    long overForUs = host.settings.overloadDurationUs();
    double most = 0;
    for (long now = 0; now < host.settings.warmupUs(); now += STEP_US) {
      double share =
          host.settings.coldCapacity()
              + (1 - host.settings.coldCapacity()) * now / host.settings.warmupUs();
      host.gauges.coreUtilisation = host.running().isEmpty() ? 0.2 : 1;
      host.advance(STEP_US);
      for (int caller = 0;
          caller < callers;
          caller++) { // each has as much out as it was told it may
        host.callerId = caller;
        int mine = caller;
        long out =
            host.requests.values().stream()
                .filter(hosted -> hosted.request.callerId() == mine && hosted.awaitingResponse)
                .count();
        for (double more = host.loadAdvice - out;
            more >= 1 && host.requests.size() < 2_000;
            more--) {
          host.arrive(0);
        }
      }
      for (SimulatedHost.HostedRequest hosted : host.running()) {
        if (random.nextDouble()
            < share * STEP_US / 250_000.0 / Math.max(1, host.running().size() / 4.0)) {
          host.end(hosted, Outcome.OK, 250_000);
        }
      }
      host.requests.values().removeIf(hosted -> hosted.state == RequestState.COMPLETED);
      running.add(host.running().size());
      int span = (int) (overForUs / STEP_US);
      if (running.size() >= span) {
        double mean =
            running.subList(running.size() - span, running.size()).stream()
                .mapToInt(n -> n)
                .average()
                .orElse(0);
        most =
            Math.max(
                most,
                mean
                    / (host.settings.cores()
                        * (1 + (host.settings.overloadMultiple() - 1) * share)));
      }
    }
    return most;
  }

  public static void main(String[] args) {
    System.out.println(
        "| processes | share of each | budget N | most held, worst of 3 seeds | N + 2 root N + 2 |"
            + " calls |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (int processes : new int[] {20, 30}) {
      for (double share : new double[] {0.02, 0.05, 0.3, 1, 5}) {
        Below5s worst = null;
        for (int seed = 1; seed <= 3; seed++) {
          Below5s one = below(processes, share, seed);
          worst = worst == null || one.most() > worst.most() ? one : worst;
        }
        System.out.printf(
            "| %d | %.2f | %.1f | %.2f | %.1f | %d |%n",
            processes, share, worst.budget(), worst.most(), worst.allowed(), worst.calls());
      }
    }
    for (int callers : new int[] {4, 20, 30}) {
      System.out.printf(
          "cold node, %d callers: at the most %.2f of what it survives, in the mean of its"
              + " overload's time%n",
          callers, cold(callers, 1));
    }
  }
}
