package rosecleat.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.fakes.FakeUwsgiService;
import rosecleat.fakes.UwsgiClient;
import rosecleat.harness.Links.Way;

/**
 * One table of routes in five processes, and uwsgi traffic through each, while it changes and
 * pieces break.
 */
class RoutesTest {
  @TempDir Path folder;
  private final FakeUwsgiService one = new FakeUwsgiService();
  private final FakeUwsgiService two = new FakeUwsgiService();
  private Site site;

  @BeforeEach
  void start() throws Exception {
    site = new Site(folder, 5, 200, "");
    site.routes(line("c1", one, "on"));
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
  private String digest(int at, String name) throws InterruptedException {
    site.await(
        "instance " + name,
        20,
        () ->
            site.see(at, "/v1/routes").path("services").path("cards").path("instances").has(name));
    return site.see(at, "/v1/routes").path("digest").asText();
  }

  private void inForce(String digest, int... where) throws InterruptedException {
    site.await(
        "routes " + digest,
        20,
        () -> {
          for (int i : where) {
            if (!site.see(i, "/v1/routes").path("digest").asText().equals(digest)) {
              return false;
            }
          }
          return true;
        });
  }

  private UwsgiClient.Reply ask(int at) {
    try {
      return UwsgiClient.exchange(
          site.front(at), UwsgiClient.packet(UwsgiClient.vars("GET", "/cheap", "till"), ""));
    } catch (IOException e) {
      return new UwsgiClient.Reply(0, "", e.toString());
    }
  }

  private UwsgiClient.Reply load(int at, String key) {
    try {
      return UwsgiClient.exchange(
          site.front(at),
          UwsgiClient.packet(
              UwsgiClient.vars("POST", "/loads", "till", "HTTP_IDEMPOTENCY_KEY", key), "amount=5"));
    } catch (IOException e) {
      return new UwsgiClient.Reply(0, "", e.toString());
    }
  }

  @Test
  void aChangeReachesAllAndLosesNothingUnderTraffic() throws Exception {
    AtomicBoolean over = new AtomicBoolean();
    AtomicInteger asked = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    Thread[] callers = new Thread[5];
    for (int i = 0; i < 5; i++) {
      int at = i;
      callers[i] =
          new Thread(
              () -> {
                while (!over.get()) {
                  String key = "k" + at + "-" + asked.incrementAndGet();
                  lost.addAndGet(ask(at).status() == 200 ? 0 : 1);
                  UwsgiClient.Reply first = load(at, key);
                  lost.addAndGet(
                      first.status() == 200 && first.body().equals(load(at, key).body()) ? 0 : 1);
                }
              });
      callers[i].start();
    }
    for (int round = 0; round < 6; round++) {
      String fresh = round % 2 == 0 ? "d" + round : "c" + round;
      FakeUwsgiService at = round % 2 == 0 ? two : one;
      site.routes(
          line(fresh, at, "on")
              + (round % 3 == 0 ? ", " + line("old", round % 2 == 0 ? one : two, "drain") : ""));
      site.signal(0, "HUP");
      inForce(digest(0, fresh), site.all());
    }
    String before = site.see(0, "/v1/routes").path("digest").asText();
    Files.writeString(
        folder.resolve("routes.yaml"), "services: {cards: {instances: {x: {adress: 5}}}}");
    site.signal(0, "HUP");
    site.await("the finding", 10, () -> site.logOf(0).contains("adress"));
    assertEquals(before, site.see(0, "/v1/routes").path("digest").asText());
    over.set(true);
    for (Thread caller : callers) {
      caller.join();
    }
    assertTrue(asked.get() > 100 && two.requests.get() > 0);
    assertEquals(0, lost.get(), "of " + asked.get());
    Map<String, Integer> runs = new HashMap<>(one.runs);
    two.runs.forEach((key, count) -> runs.merge(key, count, Integer::sum));
    assertEquals(Set.of(1), new HashSet<>(runs.values()), "a key ran twice");
    assertTrue(runs.size() > 50);
    site.routes("gone: {address: \"uwsgi://127.0.0.1:9\", state: off}");
    site.signal(0, "HUP");
    inForce(digest(0, "gone"), site.all());
    UwsgiClient.Reply none = ask(3);
    assertEquals(503, none.status());
    assertEquals("never-ran", none.header("X-Progress"));
    assertFalse(site.logOf(2).contains("a task failed"), site.logOf(2));
  }

  @Test
  void splitsTornExchangesAndOldFilesEndInOneTable() throws Exception {
    site.links.ways((a, b) -> a >= 0 && (a < 2) == (b < 2) ? Way.CLEAR : Way.CUT);
    site.await(
        "split",
        30,
        () -> site.state(0, "n4").equals("dead") && site.state(4, "n0").equals("dead"));
    site.routes(line("c1", one, "on") + ", " + line("left", two, "on"));
    site.signal(0, "HUP");
    inForce(digest(0, "left"), 0, 1);
    site.configure(
        4,
        "n4",
        "\"" + site.toldAt(3) + "\"",
        "routes: {file: other.yaml}\n"); // an author on the other side
    Files.writeString(
        folder.resolve("other.yaml"),
        "services: {cards: {instances: {" + line("right", two, "on") + "}}}");
    site.signal(4, "KILL");
    site.start(4);
    inForce(digest(4, "right"), 2, 3, 4);
    site.links.tearAfter = 100; // each exchange of routes breaks
    site.links.ways((a, b) -> Way.CLEAR);
    site.await("torn", 30, () -> site.links.torn.get() > 3);
    site.links.tearAfter = 0;
    digest(4, "left");
    inForce(digest(0, "right"), site.all());
    String all = site.see(1, "/v1/routes").path("digest").asText();
    site.signal(0, "KILL"); // back with its file, which others have written since: they stay
    site.start(0);
    inForce(all, site.all());
    site.awaitSettled(site.all());
    site.signal(2, "STOP"); // a follower that takes nothing holds nobody up
    site.routes(line("c1", one, "on"));
    site.signal(0, "HUP");
    site.await(
        "a removal",
        20,
        () ->
            !site.see(4, "/v1/routes")
                .path("services")
                .path("cards")
                .path("instances")
                .has("left"));
    site.signal(2, "CONT");
    inForce(site.see(4, "/v1/routes").path("digest").asText(), site.all());
    assertEquals(200, ask(2).status());
  }
}
