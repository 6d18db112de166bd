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

  private static double crash(int n, long seed) {
    SimulatedCluster world = new SimulatedCluster(n, seed).acquainted();
    world.run(world.random.nextDouble() * 2);
    SimulatedCluster.Peer victim = world.peers.get(world.random.nextInt(n));
    MemberId id = victim.fleet.localId();
    victim.crash();
    return world.until(60, () -> world.gone(id));
  }

  private static double settled(int n, long seed) {
    SimulatedCluster world = new SimulatedCluster(n, seed).acquainted();
    SimulatedCluster.Peer victim = world.peers.get(world.random.nextInt(n));
    MemberId id = victim.fleet.localId();
    victim.crash();
    world.until(60, () -> world.gone(id));
    return world.until(
        60, () -> world.living().stream().allMatch(p -> p.fleet.isSettled(world.nowUs)));
  }

  private static double heal(int n, long seed) {
    SimulatedCluster world = new SimulatedCluster(n, seed).acquainted();
    world.link = (a, b) -> a % 2 == b % 2;
    world.run(30);
    world.link = (a, b) -> true;
    return world.until(60, world::agree);
  }

  private static void idle(int n) {
    SimulatedCluster world = new SimulatedCluster(n, 1).acquainted();
    world.run(20);
    world.messages = 0;
    world.bytes = 0;
    world.run(40);
    System.out.printf(
        Locale.ROOT,
        "idle, n=%d: %.2f messages, %.0f bytes by member and period%n",
        n,
        world.messages / 40.0 / n,
        world.bytes / 40.0 / n);
  }

  /** A tenth of the members pause up to 5 periods again and again, 5% of all is lost. */
  private static void pauses(boolean health, int seeds) {
    int n = 100;
    int periods = 400;
    long[] sums =
        IntStream.range(0, seeds)
            .parallel()
            .mapToObj(
                seed -> {
                  SimulatedCluster world =
                      new SimulatedCluster(
                              n, seed + 100, new Tuning(SimulatedCluster.PERIOD, health))
                          .acquainted();
                  world.loss = 0.05;
                  long wrong = 0;
                  long paused = 0;
                  boolean[][] held = new boolean[n][n];
                  for (int p = 0; p < periods; p++) {
                    for (int k = 0; k < n / 10; k++) {
                      SimulatedCluster.Peer peer = world.peers.get(k);
                      if (world.nowUs > peer.pausedUntil && world.random.nextInt(8) == 0) {
                        peer.pause(
                            SimulatedCluster.PERIOD
                                + world.random.nextLong(4 * SimulatedCluster.PERIOD));
                      }
                    }
                    world.run(1);
                    for (SimulatedCluster.Peer a : world.peers) {
                      for (SimulatedCluster.Peer b : world.peers) {
                        boolean dead = !a.fleet.stateOf(b.fleet.localId()).get().isActive();
                        if (dead && !held[a.index][b.index]) {
                          if (b.index >= n / 10) {
                            wrong++;
                          } else {
                            paused++;
                          }
                        }
                        held[a.index][b.index] = dead;
                      }
                    }
                  }
                  return new long[] {wrong, paused};
                })
            .reduce(new long[2], (a, b) -> new long[] {a[0] + b[0], a[1] + b[1]});
    System.out.printf(
        Locale.ROOT,
        "pauses, local health %s, %d member periods: healthy ones held for dead %d, pausing ones"
            + " %d%n",
        health ? "on" : "off",
        (long) n * periods * seeds,
        sums[0],
        sums[1]);
  }

  private interface Trial {
    double of(long seed);
  }

  private static void row(String what, int seeds, Trial trial) {
    long begun = System.nanoTime();
    double[] all =
        IntStream.range(0, Math.max(3, seeds)).parallel().mapToDouble(trial::of).sorted().toArray();
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
