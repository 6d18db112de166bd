import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An upgrade of a node whose balancers hold more connections in use than one of two processes
 * accepts, and fewer than balancers may open. A further balancer connects while the newer process
 * starts.
 */
final class UpgradeConnections {
  private static final int SOCKETS = 256;
  private static final int BALANCERS = 6;
  private static final int CONNECTIONS_OF_EACH = 12;
  private static final int OPEN_ON_EACH = 2;
  private static final int OVERLAP_MS = 5_000;

  private static final List<StandIns.Sent> ALL = new CopyOnWriteArrayList<>();
  private static volatile boolean stop;

  public static void main(String[] args) throws Exception {
    Rig.main(args[0], UpgradeConnections::run);
  }

  private static boolean run() throws Exception {
    var index = new StandIns.IndexStandIn();
    var roster = new StandIns.RosterStandIn();
    var runtime1 = new StandIns.RuntimeStandIn("runtime1", 6);
    var runtime2 = new StandIns.RuntimeStandIn("runtime2", 6);
    runtime1.coreShare = 0.05;
    runtime2.coreShare = 0.05;
    int listen = Rig.freePort();
    int mgmt1 = Rig.freePort();
    int mgmt2 = Rig.freePort();
    Path tmp = Files.createDirectory(Rig.folder().resolve("tmp"));
    Rig.Node old =
        Rig.Node.start(
            "old",
            tmp,
            Rig.config("n1", listen, runtime1.port(), roster.port(), index.port(), mgmt1, 4000, 192, SOCKETS),
            "");
    Rig.await("the old process is ready", 20_000, () -> Rig.get(mgmt1, "/v1/readyz") == 200);
    for (int i = 0; i < BALANCERS * CONNECTIONS_OF_EACH; i++) {
      use("balancer" + i % BALANCERS + "." + i / BALANCERS, listen, "card-status", 5_700);
      Thread.sleep(30);
    }
    Thread.sleep(4_000);

    long upgradeMs = System.currentTimeMillis();
    Rig.Node fresh = null;
    if (Rig.TROUBLE) {
      fresh =
          Rig.Node.start(
              "new",
              tmp,
              Rig.config("n1", listen, runtime2.port(), roster.port(), index.port(), mgmt2, 4000, 192, SOCKETS),
              "");
      Rig.await("the old process sees the new one", 5_000, () -> old.logText().contains("two processes"));
    }
    Rig.note("a further balancer connects");
    for (int i = 0; i < CONNECTIONS_OF_EACH; i++) {
      use("further." + i, listen, "card-refresh", 3_400);
    }
    if (Rig.TROUBLE) {
      Rig.await("the new process is ready", 20_000, () -> Rig.get(mgmt2, "/v1/readyz") == 200);
      Rig.note("readyz of the new process is 200");
      Thread.sleep(OVERLAP_MS);
      old.signal("TERM");
      Rig.await("the old process ends", 10_000, () -> !old.alive());
      Rig.note("the old process has ended");
    } else {
      Thread.sleep(OVERLAP_MS + 4_000);
    }
    stop = true;
    Thread.sleep(6_000);

    int lost = 0;
    for (StandIns.Sent sent : new ArrayList<>(ALL)) {
      if (sent.lost()) {
        lost++;
        Rig.note(
            "LOST " + sent.id + " " + sent.requestClass + ", written " + (sent.writtenMs - upgradeMs)
                + " ms after the upgrade began, "
                + (sent.answers == 0 ? "never answered" : "answered " + (sent.answeredMs - sent.dueMs()) + " ms too late"));
      }
    }
    Rig.note("requests " + ALL.size() + ", lost " + lost);
    old.copyLog();
    if (fresh != null) {
      fresh.copyLog();
    }
    return lost * 1000 <= 3 * ALL.size();
  }

  /**
   * Keeps a connection in use, with two requests open on it. A connection that was told BYE or has
   * ended is replaced; a request that crossed its end is left out, since it may be sent again.
   */
  private static void use(String label, int port, String requestClass, int waitMs) {
    StandIns.daemon(
        () -> {
          StandIns.Connection connection = null;
          List<StandIns.Sent> open = new ArrayList<>();
          while (!stop) {
            try {
              if (connection == null || connection.bye || connection.ended) {
                connection = new StandIns.Connection(label, port);
                open.clear();
              }
              open.removeIf(sent -> sent.answers > 0 || System.currentTimeMillis() > sent.dueMs());
              if (open.size() < OPEN_ON_EACH) {
                StandIns.Sent sent = connection.send(requestClass, waitMs, null, "body of " + label);
                Thread.sleep(100);
                if (connection.ended && sent.answers == 0) {
                  Rig.note(label + " request " + sent.id + " crossed the end of its connection");
                } else {
                  ALL.add(sent);
                  open.add(sent);
                }
              }
              Thread.sleep(5);
            } catch (Exception e) {
              Rig.note(label + " could not send: " + e.getMessage());
              connection = null;
            }
          }
        },
        label);
  }
}
