package rosecleat.measure;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;
import rosecleat.fleet.wire.MemberUpdateMessage;
import rosecleat.routes.Instance;
import rosecleat.routes.RouteEntry;
import rosecleat.routes.RouteStore;
import rosecleat.routes.RouteSyncSession;
import rosecleat.routes.RouteTable;

/**
 * Measures the cost of changes in a large table of routes, compared with the cost of the complete
 * table, for docs/measurements/routes.md.
 */
public final class RoutesSpeed {
  private static final MemberUpdateMessage SELF = MemberUpdateMessage.getDefaultInstance();
  private static final int ROUNDS = 21;

  private RoutesSpeed() {}

  public static void main(String[] args) {
    for (int size : new int[] {1_000, 10_000, 100_000}) {
      for (int changes : new int[] {1, 10, 100, 1_000}) {
        printRow(size, changes);
      }
    }
  }

  private static void printRow(int size, int changes) {
    RouteStore author = new RouteStore();
    Map<RouteEntry.Key, Instance> file = new HashMap<>();
    putInstances(file, size, 0);
    author.publish("a", file);
    RouteStore follower = new RouteStore();
    int completeBytes = synchronize(follower, author);
    long[] diffNs = new long[ROUNDS];
    long[] comparisonNs = new long[ROUNDS];
    long[] syncNs = new long[ROUNDS];
    int changeBytes = 0;
    for (int round = 1; round <= ROUNDS; round++) {
      RouteTable before = author.table();
      putInstances(file, changes, round);
      author.publish("a", file);
      RouteTable after = author.table();
      diffNs[round - 1] = time(() -> before.diff(after).size());
      comparisonNs[round - 1] = time(() -> compareCompletely(before, after));
      long begunNs = System.nanoTime();
      changeBytes = synchronize(follower, author);
      syncNs[round - 1] = System.nanoTime() - begunNs;
    }
    System.out.printf(
        Locale.ROOT,
        "%d entries, %d changes: diff %.3f ms, whole comparison %.3f ms (%.0fx), told and applied"
            + " %.3f ms, %d bytes, whole table %d bytes (%.0fx)%n",
        size,
        changes,
        median(diffNs) / 1e6,
        median(comparisonNs) / 1e6,
        (double) median(comparisonNs) / median(diffNs),
        median(syncNs) / 1e6,
        changeBytes,
        completeBytes,
        (double) completeBytes / changeBytes);
  }

  private static void putInstances(Map<RouteEntry.Key, Instance> file, int count, int round) {
    for (int i = 0; i < count; i++) {
      file.put(new RouteEntry.Key("service" + i % 100, "instance" + i), instance(i, round));
    }
  }

  private static long median(long[] durations) {
    long[] sorted = durations.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }

  private static Instance instance(int i, int round) {
    return new Instance(
        "10.0." + i % 250 + "." + round % 250,
        1 + i % 60_000,
        "zone" + i % 3,
        1,
        Instance.State.ON,
        4);
  }

  /** The baseline: compares both tables as maps and looks up every key. */
  private static long compareCompletely(RouteTable before, RouteTable after) {
    Map<String, Map<String, Instance>> a = before.services();
    Map<String, Map<String, Instance>> b = after.services();
    long differ = 0;
    for (Map.Entry<String, Map<String, Instance>> service : b.entrySet()) {
      Map<String, Instance> old = a.getOrDefault(service.getKey(), Map.of());
      for (Map.Entry<String, Instance> each : service.getValue().entrySet()) {
        differ += each.getValue().equals(old.get(each.getKey())) ? 0 : 1;
      }
    }
    return differ;
  }

  private static long time(LongSupplier what) {
    long startNs = System.nanoTime();
    if (what.getAsLong() < 0) {
      throw new IllegalStateException();
    }
    return System.nanoTime() - startNs;
  }

  /** Synchronizes a store with another; returns the size of the response in bytes. */
  private static int synchronize(RouteStore initiator, RouteStore responder) {
    RouteSyncSession initiatorSession =
        new RouteSyncSession(initiator, true, "c", () -> SELF, () -> {}, () -> {});
    RouteSyncSession responderSession =
        new RouteSyncSession(responder, false, "c", () -> SELF, () -> {}, () -> {});
    byte[] response = responderSession.nextFrame(initiatorSession.nextFrame(null, 0), 0);
    initiatorSession.nextFrame(response, 0);
    return response.length;
  }
}
