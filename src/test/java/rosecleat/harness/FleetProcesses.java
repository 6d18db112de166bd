package rosecleat.harness;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import rosecleat.harness.Links.Way;

/**
 * What docs/measurements/fleet-view.md keeps of real processes: {@code FleetProcesses COUNT
 * PERIOD_MS}; long.
 */
public final class FleetProcesses {
  private FleetProcesses() {}

  public static void main(String[] args) throws Exception {
    int n = Integer.parseInt(args[0]);
    int period = Integer.parseInt(args[1]);
    Path folder = Files.createTempDirectory("fleet");
    try (Site site = new Site(folder, n, period, "")) {
      site.routes("c0: {address: \"uwsgi://127.0.0.1:9\"}");
      site.startAll();
      site.await("settled", 180, () -> site.settled(site.all()));
      Thread.sleep(20L * period);
      long before = cpu(site);
      Thread.sleep(30L * period);
      System.out.printf(
          Locale.ROOT,
          "%d processes, period %d ms: CPU of an idle one %.2f%% of a core%n",
          n,
          period,
          (cpu(site) - before) / (double) n / (30.0 * period) * 100);
      double[] changes = new double[10];
      for (int i = 0; i < changes.length; i++) {
        site.routes("c" + (i + 1) + ": {address: \"uwsgi://127.0.0.1:9\"}");
        if (i == 5) {
          site.signal(n - 1, "STOP"); // holds none of the others back
        }
        long begun = System.nanoTime();
        site.signal(0, "HUP");
        String name = "c" + (i + 1);
        int[] all = i < 5 ? site.all() : site.but(n - 1);
        site.await(
            name,
            60,
            () ->
                Arrays.stream(all)
                    .allMatch(
                        k ->
                            site.see(k, "/v1/routes")
                                .path("services")
                                .path("cards")
                                .path("instances")
                                .has(name)));
        changes[i] = (System.nanoTime() - begun) / 1e6 / period;
      }
      site.signal(n - 1, "CONT");
      System.out.println(
          "a changed route in force everywhere, periods (from the sixth on one is stopped): "
              + Arrays.toString(
                  Arrays.stream(changes).map(x -> Math.round(10 * x) / 10.0).toArray()));
      site.await("settled", 120, () -> site.settled(site.all()));
      long begun = System.nanoTime();
      site.signal(n / 2, "KILL");
      site.await(
          "crash known",
          120,
          () ->
              Arrays.stream(site.but(n / 2))
                  .allMatch(k -> site.state(k, "n" + n / 2).equals("dead")));
      System.out.printf(
          Locale.ROOT,
          "crash known to all: %.1f periods%n",
          (System.nanoTime() - begun) / 1e6 / period);
      site.await("settled", 120, () -> site.settled(site.but(n / 2)));
      System.out.printf(
          Locale.ROOT,
          "settled again: %.1f periods after the crash%n",
          (System.nanoTime() - begun) / 1e6 / period);
      site.start(n / 2);
      site.await("settled", 120, () -> site.settled(site.all()));
      site.links.ways((a, b) -> a >= 0 && a % 2 == b % 2 ? Way.CLEAR : Way.CUT);
      Thread.sleep(30L * period);
      site.links.ways((a, b) -> Way.CLEAR);
      begun = System.nanoTime();
      site.await("healed", 180, () -> site.settled(site.all()));
      System.out.printf(
          Locale.ROOT,
          "all views equal and settled after a split of 30: %.1f periods%n",
          (System.nanoTime() - begun) / 1e6 / period);
    }
  }

  /** Milliseconds of processor time that all have used. */
  private static long cpu(Site site) throws Exception {
    long ticks = 0;
    for (int i : site.all()) {
      String[] fields =
          Files.readString(Path.of("/proc/" + site.pid(i) + "/stat"))
              .replaceAll(".*\\) ", "")
              .split(" ");
      ticks += Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    }
    return ticks * 10;
  }
}
