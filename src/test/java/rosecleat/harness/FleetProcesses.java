package rosecleat.harness;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import rosecleat.harness.Links.LinkCondition;

/**
 * Measures a fleet of real processes for docs/measurements/fleet-view.md; runs long. Usage: {@code
 * FleetProcesses COUNT PERIOD_MS}.
 */
public final class FleetProcesses {
  private static final int CHANGES = 10;

  /** The first route change while one process is stopped. */
  private static final int FIRST_CHANGE_WITH_ONE_STOPPED = 5;

  private FleetProcesses() {}

  public static void main(String[] args) throws Exception {
    int count = Integer.parseInt(args[0]);
    int periodMs = Integer.parseInt(args[1]);
    Path folder = Files.createTempDirectory("fleet");
    try (Site site = new Site(folder, count, periodMs, "")) {
      site.writeRoutes(route(0));
      site.startAll();
      site.await("settled", 180, () -> site.settled(site.all()));
      measureIdle(site);
      measureRouteChanges(site);
      measureCrash(site);
      measurePartition(site);
    }
  }

  private static String route(int number) {
    return "c" + number + ": {address: \"uwsgi://127.0.0.1:9\"}";
  }

  private static double periodsSince(long begunNs, Site site) {
    return (System.nanoTime() - begunNs) / 1e6 / site.periodMs;
  }

  private static void measureIdle(Site site) throws Exception {
    Thread.sleep(20L * site.periodMs);
    long before = cpu(site);
    Thread.sleep(30L * site.periodMs);
    System.out.printf(
        Locale.ROOT,
        "%d processes, period %d ms: CPU of an idle one %.2f%% of a core%n",
        site.size,
        site.periodMs,
        (cpu(site) - before) / (double) site.size / (30.0 * site.periodMs) * 100);
  }

  private static void measureRouteChanges(Site site) throws Exception {
    int stopped = site.size - 1;
    double[] changes = new double[CHANGES];
    for (int i = 0; i < CHANGES; i++) {
      site.writeRoutes(route(i + 1));
      if (i == FIRST_CHANGE_WITH_ONE_STOPPED) {
        site.signal(stopped, "STOP"); // A stopped process must not delay the others.
      }
      int[] observers = i < FIRST_CHANGE_WITH_ONE_STOPPED ? site.all() : site.allExcept(stopped);
      changes[i] = applyChange(site, "c" + (i + 1), observers);
    }
    site.signal(stopped, "CONT");
    System.out.println(
        "a changed route in force everywhere, periods (from the sixth on one is stopped): "
            + Arrays.toString(
                Arrays.stream(changes).map(x -> Math.round(10 * x) / 10.0).toArray()));
    site.await("settled", 120, () -> site.settled(site.all()));
  }

  /** Has n0 reload its routes; returns the periods until all observers have the instance. */
  private static double applyChange(Site site, String instance, int[] observers) throws Exception {
    long begunNs = System.nanoTime();
    site.signal(0, "HUP");
    site.await(
        instance,
        60,
        () ->
            Arrays.stream(observers)
                .allMatch(
                    i ->
                        site.adminJson(i, "/v1/routes")
                            .path("services")
                            .path("cards")
                            .path("instances")
                            .has(instance)));
    return periodsSince(begunNs, site);
  }

  private static void measureCrash(Site site) throws Exception {
    int victim = site.size / 2;
    long begunNs = System.nanoTime();
    site.signal(victim, "KILL");
    site.await(
        "crash known",
        120,
        () ->
            Arrays.stream(site.allExcept(victim))
                .allMatch(i -> site.state(i, "n" + victim).equals("dead")));
    System.out.printf(
        Locale.ROOT, "crash known to all: %.1f periods%n", periodsSince(begunNs, site));
    site.await("settled", 120, () -> site.settled(site.allExcept(victim)));
    System.out.printf(
        Locale.ROOT, "settled again: %.1f periods after the crash%n", periodsSince(begunNs, site));
    site.start(victim);
    site.await("settled", 120, () -> site.settled(site.all()));
  }

  private static void measurePartition(Site site) throws Exception {
    site.links.setConditions(
        (from, to) -> from >= 0 && from % 2 == to % 2 ? LinkCondition.CLEAR : LinkCondition.CUT);
    Thread.sleep(30L * site.periodMs);
    site.links.setConditions((from, to) -> LinkCondition.CLEAR);
    long begunNs = System.nanoTime();
    site.await("healed", 180, () -> site.settled(site.all()));
    System.out.printf(
        Locale.ROOT,
        "all views equal and settled after a split of 30: %.1f periods%n",
        periodsSince(begunNs, site));
  }

  /** Returns the processor time that all processes have used (ms). */
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
