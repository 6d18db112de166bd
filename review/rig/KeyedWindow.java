import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A keyed request comes again after a reload made the window of its class longer. With TROUBLE=0 the
 * longer window is in the configuration from the start, and nothing is reloaded.
 */
final class KeyedWindow {
  private static final String LONG_WINDOW = "\"window-us\": 17226000";
  private static final String SHORT_WINDOW = "\"window-us\": 6000000";
  private static final int WINDOW_MS = 17_226;
  private static final int THIRD_TRY_AFTER_MS = 8_000;

  public static void main(String[] args) throws Exception {
    Rig.main(args[0], KeyedWindow::run);
  }

  private static boolean run() throws Exception {
    var index = new StandIns.IndexStandIn();
    var roster = new StandIns.RosterStandIn();
    var runtime = new StandIns.RuntimeStandIn("runtime", 6);
    int listen = Rig.freePort();
    int mgmt = Rig.freePort();
    Path tmp = Files.createDirectory(Rig.folder().resolve("tmp"));
    String longer =
        Rig.config("n1", listen, runtime.port(), roster.port(), index.port(), mgmt, 4000, 192, 1024);
    String shorter = Rig.set(longer, LONG_WINDOW, SHORT_WINDOW);
    Rig.Node node = Rig.Node.start("node", tmp, Rig.TROUBLE ? shorter : longer, "");
    Rig.await("the node is ready", 20_000, () -> Rig.get(mgmt, "/v1/readyz") == 200);

    String once = Rig.newId() + Rig.newId();
    StandIns.Sent first = send(listen, once);
    StandIns.Sent second = send(listen, once);
    if (!first.word.equals("OK") || !second.word.equals("OK") || runtime.startCount() != 1) {
      throw new IllegalStateException("not served once before any change");
    }
    if (Rig.TROUBLE) {
      Files.writeString(Rig.folder().resolve("node.json"), longer);
      node.signal("HUP");
      Rig.await("the reload is logged", 5_000, () -> node.logText().contains("configuration reloaded"));
      Rig.note("reloaded " + (System.currentTimeMillis() - first.atMs) + " ms after the first try came");
    }
    Thread.sleep(first.atMs + THIRD_TRY_AFTER_MS - System.currentTimeMillis());
    StandIns.Sent third = send(listen, once);
    Rig.note(
        "the key ran " + runtime.startCount() + " times; the third try came " + (third.atMs - first.atMs)
            + " ms after the one that ran, the window is " + WINDOW_MS + " ms");
    node.copyLog();
    boolean inWindow = List.of(second, third).stream().allMatch(sent -> sent.writtenMs <= first.atMs + WINDOW_MS);
    if (!inWindow) {
      throw new IllegalStateException("a try came after the window");
    }
    return runtime.startCount() == 1;
  }

  /** Sends a try on a new connection and waits for its answer. */
  private static StandIns.Sent send(int port, String once) throws Exception {
    var connection = new StandIns.Connection("balancer", port);
    StandIns.Sent sent = connection.send("card-load", 5_700, once, "load card 77 with 2500 cents");
    Rig.await("an answer", 6_000, () -> sent.answers > 0);
    connection.close();
    return sent;
  }
}
