package rosecleat.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.harness.Links.LinkCondition;

/** Tests the membership views of seven processes while processes and links fail. */
class ViewTest {
  private static final int PERIOD_MS = 200;
  @TempDir Path folder;
  private Site site;

  @BeforeEach
  void start() throws Exception {
    site = new Site(folder, 7, PERIOD_MS, "");
    site.writeRoutes("c1: {address: \"uwsgi://127.0.0.1:9\"}");
    site.startAll().awaitSettled(site.all());
  }

  @AfterEach
  void stop() {
    site.close();
  }

  private void awaitState(String name, String state, int... where) throws InterruptedException {
    site.await(
        name + " " + state,
        30,
        () -> {
          for (int i : where) {
            if (!site.state(i, name).equals(state)) {
              return false;
            }
          }
          return true;
        });
  }

  @Test
  void crashPauseLeaveAndRestartAreDistinguished() throws Exception {
    long before = site.epoch(1, "n6");
    site.signal(6, "KILL");
    awaitState("n6", "dead", site.allExcept(6));
    site.awaitSettled(site.allExcept(6));
    site.signal(5, "TERM");
    awaitState("n5", "left", site.allExcept(5, 6));
    site.await("exit of n5", 20, () -> !site.isAlive(5));
    site.signal(4, "STOP"); // The pause exceeds the detection time; then the process continues.
    awaitState("n4", "dead", 0, 1, 2, 3);
    site.signal(4, "CONT");
    awaitState("n4", "alive", 0, 1, 2, 3);
    site.start(5, 6);
    site.awaitSettled(site.all());
    assertTrue(site.epoch(1, "n6") > before);
    long again = site.epoch(1, "n6");
    site.signal(6, "KILL"); // A restart before detection still gets a greater epoch.
    site.start(6);
    site.await(
        "the restarted process",
        30,
        () -> site.epoch(1, "n6") > again && site.state(1, "n6").equals("alive"));
    site.awaitSettled(site.all());
  }

  @Test
  void viewsConvergeAfterPartitionsHeal() throws Exception {
    Links.LinkConditions halves =
        (a, b) -> a >= 0 && a % 2 == b % 2 ? LinkCondition.CLEAR : LinkCondition.CUT;
    site.links.setConditions(halves);
    awaitState("n1", "dead", 0, 2, 4, 6);
    awaitState("n0", "dead", 1, 3, 5);
    site.await(
        "the smaller partition is not settled",
        10,
        () -> !site.adminJson(1, "/v1/fleet").path("settled").asBoolean());
    site.awaitSettledPartition(4, 0, 2, 4, 6); // A majority settles without the others.
    site.links.setConditions((a, b) -> LinkCondition.CLEAR);
    site.awaitSettled(site.all());
    site.links.setConditions(
        (a, b) -> a >= 0 && a % 3 == b % 3 ? LinkCondition.CLEAR : LinkCondition.CUT);
    awaitState("n1", "dead", 0, 3, 6);
    awaitState("n2", "dead", 0, 3, 6);
    awaitState("n0", "dead", 1, 4, 2, 5);
    site.links.setConditions((a, b) -> LinkCondition.CLEAR);
    site.awaitSettled(site.all());
    site.links.setConditions((a, b) -> a == 2 || b == 2 ? LinkCondition.CUT : LinkCondition.CLEAR);
    awaitState("n2", "dead", site.allExcept(2));
    assertFalse(
        site.adminJson(2, "/v1/fleet").path("settled").asBoolean(),
        site.adminJson(2, "/v1/fleet") + site.logOf(2));
    site.links.setConditions((a, b) -> LinkCondition.CLEAR);
    site.awaitSettled(site.all());
  }

  /**
   * Guards against a view that flaps when one direction of a link fails: indirect probes through
   * other members show that the member whose messages do not arrive is alive.
   */
  @Test
  void viewSettlesDespiteOneWayLinkLossAndMalformedDatagrams() throws Exception {
    site.links.setConditions((a, b) -> a == 3 && b == 4 ? LinkCondition.CUT : LinkCondition.CLEAR);
    Random random = new Random(5);
    for (int round = 0; round < 40; round++) {
      for (int i = 0; i < site.size; i++) {
        byte[] bytes = new byte[random.nextInt(1_500)];
        random.nextBytes(bytes);
        site.links.sendGarbage(i, bytes);
      }
      Thread.sleep(PERIOD_MS / 4);
    }
    site.awaitSettled(site.all());
    site.links.setConditions((a, b) -> new LinkCondition(0.2, 0.1, 20, false, 0));
    Thread.sleep(20L * PERIOD_MS); // No member may be declared dead in this time.
    for (int i : site.all()) {
      assertFalse(site.logOf(i).contains("is dead"), site.logOf(i));
    }
    site.links.setConditions((a, b) -> LinkCondition.CLEAR);
    site.awaitSettled(site.all());
  }

  @Test
  void processesWithTheSameNameStayDistinctAndSimultaneousRestartSettles() throws Exception {
    site.configure(6, "n5", "\"" + site.advertisedAddress(0) + "\"", "");
    site.signal(6, "TERM");
    site.await("exit of n6", 20, () -> !site.isAlive(6));
    site.start(6);
    site.await(
        "two members named n5",
        30,
        () -> {
          int named = 0;
          for (var member : site.adminJson(0, "/v1/fleet").path("members")) {
            named +=
                member.path("name").asText().equals("n5")
                        && member.path("state").asText().equals("alive")
                    ? 1
                    : 0;
          }
          return named == 2;
        });
    site.awaitSettled(site.all());
    assertTrue(site.logOf(5).contains("another process is named n5"), site.logOf(5));
    Thread.sleep(15L * PERIOD_MS);
    assertTrue(site.settled(site.all()));
    for (int i : site.all()) { // All processes restart together, so their seeds start with them.
      site.signal(i, "KILL");
    }
    site.configure(6, "n6", "\"" + site.advertisedAddress(5) + "\"", "");
    site.startAll();
    site.awaitSettled(site.all());
    assertEquals(7, site.adminJson(6, "/v1/fleet").path("members").size());
  }
}
