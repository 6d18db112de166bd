package rosecleat.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.fakes.FakeUwsgiService;
import rosecleat.fakes.UwsgiClient;
import rosecleat.harness.Links.LinkCondition;

/**
 * One table of routes in five processes, and uwsgi traffic through each, while it changes and
 * pieces break.
 */
class RoutesTest {
  /** A table that all agree on is kept for so long: five periods of the membership protocol. */
  private static final long KEPT_NS = 1_000_000_000;

  @TempDir Path folder;
  private final FakeUwsgiService one = new FakeUwsgiService();
  private final FakeUwsgiService two = new FakeUwsgiService();
  private Site site;

  @BeforeEach
  void start() throws Exception {
    site = new Site(folder, 5, 200, "");
    site.writeRoutes(line("c1", one, "on"));
    site.startAll().awaitSettled(site.all());
    inForce(digest(0, "c1"), site.all());
  }

  @AfterEach
  void stop() {
    site.close();
    one.close();
    two.close();
  }

  private static String line(String name, FakeUwsgiService at, String state) {
    return name + ": {address: \"uwsgi://127.0.0.1:" + at.port() + "\", state: " + state + "}";
  }

  /** The digest in force at a process once its table names an instance. */
  private String digest(int process, String instance) throws InterruptedException {
    site.await("instance " + instance, 20, () -> hasInstance(process, instance));
    return tableDigest(process);
  }

  private boolean hasInstance(int process, String instance) {
    return site.adminJson(process, "/v1/routes")
        .path("services")
        .path("cards")
        .path("instances")
        .has(instance);
  }

  private void inForce(String digest, int... where) throws InterruptedException {
    site.await(
        "routes " + digest,
        20,
        () -> {
          for (int i : where) {
            if (!site.adminJson(i, "/v1/routes").path("digest").asText().equals(digest)) {
              return false;
            }
          }
          return true;
        });
  }

  /**
   * Waits until processes hold one table with exactly these instances, and sees that they keep it.
   * The digest that one of them shows as soon as it knows an instance will not do: a process that
   * has just started shows a table of its own file alone, until it has met the others.
   */
  private void awaitOneTable(Set<String> instances, int... where) throws InterruptedException {
    site.await("one table of " + instances, 20, () -> holdOneTable(instances, where));
    String digest = tableDigest(where[0]);
    long keptUntilNs = System.nanoTime() + KEPT_NS;
    while (System.nanoTime() < keptUntilNs) {
      assertTrue(holdOneTable(instances, where), "not kept: " + instances);
      assertEquals(digest, tableDigest(where[0]));
    }
  }

  private boolean holdOneTable(Set<String> instances, int... where) {
    Set<String> digests = new HashSet<>();
    for (int process : where) {
      JsonNode table = site.adminJson(process, "/v1/routes");
      Set<String> names = new HashSet<>();
      table
          .path("services")
          .path("cards")
          .path("instances")
          .fieldNames()
          .forEachRemaining(names::add);
      if (!names.equals(instances)) {
        return false;
      }
      digests.add(table.path("digest").asText());
    }
    return digests.size() == 1;
  }

  private UwsgiClient.Reply ask(int at) {
    try {
      return UwsgiClient.exchange(
          site.frontendPort(at), UwsgiClient.packet(UwsgiClient.vars("GET", "/cheap", "till"), ""));
    } catch (IOException e) {
      return new UwsgiClient.Reply(0, "", e.toString());
    }
  }

  private UwsgiClient.Reply load(int at, String key) {
    try {
      return UwsgiClient.exchange(
          site.frontendPort(at),
          UwsgiClient.packet(
              UwsgiClient.vars("POST", "/loads", "till", "HTTP_IDEMPOTENCY_KEY", key), "amount=5"));
    } catch (IOException e) {
      return new UwsgiClient.Reply(0, "", e.toString());
    }
  }

  /** Callers at all processes, each with one read and one load in two attempts at a time. */
  private final class Traffic {
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final List<Thread> callers = new ArrayList<>();

    Traffic start() {
      for (int i : site.all()) {
        Thread caller = new Thread(() -> call(i));
        callers.add(caller);
        caller.start();
      }
      return this;
    }

    private void call(int process) {
      while (!stopping.get()) {
        String key = "k" + process + "-" + requests.incrementAndGet();
        countIfLost(ask(process).status() == 200);
        UwsgiClient.Reply first = load(process, key);
        countIfLost(first.status() == 200 && first.body().equals(load(process, key).body()));
      }
    }

    private void countIfLost(boolean served) {
      lost.addAndGet(served ? 0 : 1);
    }

    void stop() throws InterruptedException {
      stopping.set(true);
      for (Thread caller : callers) {
        caller.join();
      }
    }
  }

  @Test
  void aChangeReachesAllAndLosesNothingUnderTraffic() throws Exception {
    Traffic traffic = new Traffic().start();
    for (int round = 0; round < 6; round++) {
      publishInstances(round);
    }
    String before = tableDigest(0);
    publishInvalidFile();
    assertEquals(before, tableDigest(0));
    traffic.stop();
    assertTrue(traffic.requests.get() > 100 && two.requests.get() > 0);
    assertEquals(0, traffic.lost.get(), "of " + traffic.requests.get());
    assertEachKeyRanOnce();
    publish("gone: {address: \"uwsgi://127.0.0.1:9\", state: off}");
    inForce(digest(0, "gone"), site.all());
    UwsgiClient.Reply none = ask(3);
    assertEquals(503, none.status());
    assertEquals("never-ran", none.header("X-Progress"));
    assertFalse(site.logOf(2).contains("task on the event loop failed"), site.logOf(2));
  }

  /** Moves the traffic to the other backend; in some rounds the former one drains. */
  private void publishInstances(int round) throws Exception {
    boolean even = round % 2 == 0;
    String name = (even ? "d" : "c") + round;
    String draining = round % 3 == 0 ? ", " + line("old", even ? one : two, "drain") : "";
    publish(line(name, even ? two : one, "on") + draining);
    inForce(digest(0, name), site.all());
  }

  private void publish(String instances) throws Exception {
    site.writeRoutes(instances);
    site.signal(0, "HUP");
  }

  private void publishInvalidFile() throws Exception {
    Files.writeString(
        folder.resolve("routes.yaml"), "services: {cards: {instances: {x: {adress: 5}}}}");
    site.signal(0, "HUP");
    site.await("the finding", 10, () -> site.logOf(0).contains("adress"));
  }

  private String tableDigest(int process) {
    return site.adminJson(process, "/v1/routes").path("digest").asText();
  }

  private void assertEachKeyRanOnce() {
    Map<String, Integer> runs = new HashMap<>(one.runs);
    two.runs.forEach((key, count) -> runs.merge(key, count, Integer::sum));
    assertEquals(Set.of(1), new HashSet<>(runs.values()), "a key ran twice");
    assertTrue(runs.size() > 50);
  }

  @Test
  void partitionsTornExchangesAndOldFilesEndInOneTable() throws Exception {
    publishOnBothSidesOfAPartition();
    healWithTornExchanges();
    String all = tableDigest(1);
    site.signal(0, "KILL"); // back with its file, which others have written since: they stay
    site.start(0);
    inForce(all, site.all());
    site.awaitSettled(site.all());
    site.signal(2, "STOP"); // a follower that takes nothing holds nobody up
    publish(line("c1", one, "on"));
    site.await("a removal", 20, () -> !hasInstance(4, "left"));
    site.signal(2, "CONT");
    inForce(tableDigest(4), site.all());
    assertEquals(200, ask(2).status());
  }

  private void publishOnBothSidesOfAPartition() throws Exception {
    partition(from -> from < 2 ? 0 : 1);
    site.await(
        "split",
        30,
        () -> site.state(0, "n4").equals("dead") && site.state(4, "n0").equals("dead"));
    publish(line("c1", one, "on") + ", " + line("left", two, "on"));
    awaitOneTable(Set.of("c1", "left"), 0, 1);
    String seeds = "\"" + site.advertisedAddress(3) + "\"";
    site.configure(4, "n4", seeds, "routes: {file: other.yaml}\n");
    Files.writeString(
        folder.resolve("other.yaml"),
        "services: {cards: {instances: {" + line("right", two, "on") + "}}}");
    site.signal(4, "KILL");
    partition(from -> from < 2 ? 0 : from == 4 ? 2 : 1); // it shows its own file alone at first
    site.start(4);
    awaitOneTable(Set.of("right"), 4);
    partition(from -> from < 2 ? 0 : 1);
    awaitOneTable(Set.of("c1", "right"), 2, 3, 4);
  }

  /** Cuts all links but those within a group; a process is given by its number. */
  private void partition(IntUnaryOperator groupOf) {
    site.links.setConditions(
        (from, to) ->
            from >= 0 && groupOf.applyAsInt(from) == groupOf.applyAsInt(to)
                ? LinkCondition.CLEAR
                : LinkCondition.CUT);
  }

  private void healWithTornExchanges() throws Exception {
    site.links.tearAfter = 100; // each exchange of routes breaks
    site.links.setConditions((from, to) -> LinkCondition.CLEAR);
    site.await("torn", 30, () -> site.links.torn.get() > 3);
    site.links.tearAfter = 0;
    awaitOneTable(Set.of("c1", "left", "right"), site.all());
  }
}
