import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * An upgrade with requests in hand that run for longer than stop_ms. With PLAIN=1 there is no newer
 * process, so that the same SIGTERM and SIGKILL meet a plain drain.
 */
final class UpgradeStop {
  private static final int STOP_MS = 3_200;
  private static final int SLOW_RUN_MS = 3_600;

  public static void main(String[] args) throws Exception {
    Rig.main(args[0], UpgradeStop::run);
  }

  private static StandIns.Connection connection;

  /** Sends a request on a connection that was not told BYE. */
  private static StandIns.Sent send(int port, String requestClass, int waitMs, String body) throws Exception {
    while (true) {
      try {
        if (connection == null) {
          connection = new StandIns.Connection("balancer1", port);
        }
        return connection.send(requestClass, waitMs, null, body);
      } catch (java.io.IOException e) {
        connection = null;
      }
    }
  }

  private static boolean run() throws Exception {
    boolean plain = "1".equals(System.getenv("PLAIN"));
    var index = new StandIns.IndexStandIn();
    var roster = new StandIns.RosterStandIn();
    var runtime1 = new StandIns.RuntimeStandIn("runtime1", 6);
    var runtime2 = new StandIns.RuntimeStandIn("runtime2", 6);
    int listen = Rig.freePort();
    int mgmt1 = Rig.freePort();
    int mgmt2 = Rig.freePort();
    Path tmp = Files.createDirectory(Rig.folder().resolve("tmp"));
    Rig.Node old =
        Rig.Node.start(
            "old",
            tmp,
            Rig.config("n1", listen, runtime1.port(), roster.port(), index.port(), mgmt1, STOP_MS, 192, 1024),
            "");
    Rig.await("the old process is ready", 20_000, () -> Rig.get(mgmt1, "/v1/readyz") == 200);
    List<StandIns.Sent> all = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      all.add(send(listen, "card-status", 5_700, "quick " + i));
      Thread.sleep(100);
    }
    Rig.Node fresh = null;
    if (Rig.TROUBLE && !plain) {
      fresh =
          Rig.Node.start(
              "new",
              tmp,
              Rig.config("n1", listen, runtime2.port(), roster.port(), index.port(), mgmt2, STOP_MS, 192, 1024),
              "");
      Rig.await("the new process is ready", 20_000, () -> Rig.get(mgmt2, "/v1/readyz") == 200);
      Rig.note("readyz of the new process is 200");
    }
    Thread.sleep(500);
    runtime1.runMs.put("balance-check", SLOW_RUN_MS);
    for (int i = 0; i < 4; i++) {
      all.add(send(listen, "balance-check", 8_600, "slow " + i));
    }
    Thread.sleep(100);
    if (Rig.TROUBLE) {
      old.signal("TERM");
      long killMs = System.currentTimeMillis() + STOP_MS;
      while (old.alive() && System.currentTimeMillis() < killMs) {
        Thread.sleep(5);
      }
      if (old.alive()) {
        Rig.note("the old process lives on stop_ms after SIGTERM");
        old.signal("KILL");
      } else {
        Rig.note("the old process has ended by itself");
      }
    }
    Thread.sleep(9_000);

    int lost = 0;
    for (StandIns.Sent sent : all) {
      if (sent.lost()) {
        lost++;
        Rig.note("LOST " + sent.id + " " + sent.requestClass + ", " + (sent.answers == 0 ? "never answered" : "late"));
      }
    }
    Rig.note("requests " + all.size() + ", lost " + lost);
    old.copyLog();
    if (fresh != null) {
      fresh.copyLog();
    }
    return lost * 1000 <= 3 * all.size();
  }
}
