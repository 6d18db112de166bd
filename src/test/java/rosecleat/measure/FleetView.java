package rosecleat.measure;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import rosecleat.fleet.MemberId;
import rosecleat.fleet.SimulatedCluster;
import rosecleat.fleet.Tuning;

/**
 * What docs/measurements/fleet-view.md keeps of the view on virtual time: {@code FleetView SEEDS}.
 */
public final class FleetView {
  private static final int PAUSE_MEMBERS = 100;
  private static final int PAUSING_MEMBERS = PAUSE_MEMBERS / 10;
  private static final int PAUSE_PERIODS = 400;
  private static final long FIRST_PAUSE_SEED = 100;

  private FleetView() {}

  public static void main(String[] args) {
    int seeds = Integer.parseInt(args[0]);
    for (int n : new int[] {30, 120, 1_000}) {
      row("crash known to all, n=" + n, n == 1_000 ? seeds / 4 : seeds, seed -> crash(n, seed));
    }
    for (int n : new int[] {30, 120}) {
      row("settled after a crash, n=" + n, seeds / 2, seed -> settled(n, seed));
    }
    for (int n : new int[] {120, 1_000}) {
      idle(n);
    }
    for (boolean health : new boolean[] {true, false}) {
      pauses(health, 25);
    }
    for (int n : new int[] {120, 1_000}) {
      row(
          "views equal after a split of 30, n=" + n,
          n == 1_000 ? seeds / 8 : seeds / 2,
          seed -> heal(n, seed));
    }
  }

  private static double crash(int size, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(size, seed).startedWithFullViews();
    cluster.run(cluster.random.nextDouble() * 2);
    MemberId id = crashOne(cluster);
    return cluster.runUntil(60, () -> cluster.allConsiderGone(id));
  }

  private static double settled(int size, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(size, seed).startedWithFullViews();
    MemberId id = crashOne(cluster);
    cluster.runUntil(60, () -> cluster.allConsiderGone(id));
    return cluster.runUntil(60, cluster::allSettled);
  }

  private static MemberId crashOne(SimulatedCluster cluster) {
    int victim = cluster.random.nextInt(cluster.peers.size());
    MemberId id = cluster.peers.get(victim).protocol.localId();
    cluster.peers.get(victim).crash();
    return id;
  }

  private static double heal(int size, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(size, seed).startedWithFullViews();
    cluster.link = (from, to) -> from % 2 == to % 2;
    cluster.run(30);
    cluster.link = (from, to) -> true;
    return cluster.runUntil(60, cluster::viewsAgree);
  }

  private static void idle(int size) {
    SimulatedCluster cluster = new SimulatedCluster(size, 1).startedWithFullViews();
    cluster.run(20);
    cluster.messages = 0;
    cluster.bytes = 0;
    cluster.run(40);
    System.out.printf(
        Locale.ROOT,
        "idle, n=%d: %.2f messages, %.0f bytes by member and period%n",
        size,
        cluster.messages / 40.0 / size,
        cluster.bytes / 40.0 / size);
  }

  /** A tenth of the members pause up to 5 periods again and again, 5% of all is lost. */
  private static void pauses(boolean localHealth, int seeds) {
    FalseDeaths sum =
        IntStream.range(0, seeds)
            .parallel()
            .mapToObj(seed -> countFalseDeaths(localHealth, seed + FIRST_PAUSE_SEED))
            .reduce(new FalseDeaths(0, 0), FalseDeaths::plus);
    System.out.printf(
        Locale.ROOT,
        "pauses, local health %s, %d member periods: healthy ones held for dead %d, pausing ones"
            + " %d%n",
        localHealth ? "on" : "off",
        (long) PAUSE_MEMBERS * PAUSE_PERIODS * seeds,
        sum.healthy,
        sum.pausing);
  }

  /** How often members that run were newly held for dead, by another. */
  private record FalseDeaths(long healthy, long pausing) {
    FalseDeaths plus(FalseDeaths other) {
      return new FalseDeaths(healthy + other.healthy, pausing + other.pausing);
    }
  }

  private static FalseDeaths countFalseDeaths(boolean localHealth, long seed) {
    Tuning tuning = new Tuning(SimulatedCluster.PERIOD_US, localHealth);
    SimulatedCluster cluster =
        new SimulatedCluster(PAUSE_MEMBERS, seed, tuning).startedWithFullViews();
    cluster.loss = 0.05;
    FalseDeaths sum = new FalseDeaths(0, 0);
    boolean[][] heldForDead = new boolean[PAUSE_MEMBERS][PAUSE_MEMBERS];
    for (int period = 0; period < PAUSE_PERIODS; period++) {
      pauseSome(cluster);
      cluster.run(1);
      sum = sum.plus(newlyHeldForDead(cluster, heldForDead));
    }
    return sum;
  }

  private static void pauseSome(SimulatedCluster cluster) {
    for (int i = 0; i < PAUSING_MEMBERS; i++) {
      SimulatedCluster.Peer peer = cluster.peers.get(i);
      if (cluster.nowUs > peer.pausedUntilUs && cluster.random.nextInt(8) == 0) {
        long extraUs = cluster.random.nextLong(4 * SimulatedCluster.PERIOD_US);
        peer.pause(SimulatedCluster.PERIOD_US + extraUs);
      }
    }
  }

  private static FalseDeaths newlyHeldForDead(SimulatedCluster cluster, boolean[][] heldForDead) {
    long healthy = 0;
    long pausing = 0;
    for (SimulatedCluster.Peer observer : cluster.peers) {
      for (SimulatedCluster.Peer target : cluster.peers) {
        MemberId id = target.protocol.localId();
        boolean dead = !observer.protocol.stateOf(id).orElseThrow().isActive();
        if (dead && !heldForDead[observer.index][target.index]) {
          if (target.index >= PAUSING_MEMBERS) {
            healthy++;
          } else {
            pausing++;
          }
        }
        heldForDead[observer.index][target.index] = dead;
      }
    }
    return new FalseDeaths(healthy, pausing);
  }

  private interface Trial {
    double run(long seed);
  }

  private static void row(String what, int seeds, Trial trial) {
    long begun = System.nanoTime();
    double[] all =
        IntStream.range(0, Math.max(3, seeds))
            .parallel()
            .mapToDouble(trial::run)
            .sorted()
            .toArray();
    List<Double> shown =
        List.of(
            all[all.length / 2], all[(int) Math.ceil(0.99 * all.length) - 1], all[all.length - 1]);
    System.out.printf(
        Locale.ROOT,
        "%s, %d seeds: median %.1f, p99 %.1f, most %.1f periods; never %d (%.0f s)%n",
        what,
        all.length,
        shown.get(0),
        shown.get(1),
        shown.get(2),
        Arrays.stream(all).filter(x -> x < 0).count(),
        (System.nanoTime() - begun) / 1e9);
  }
}
