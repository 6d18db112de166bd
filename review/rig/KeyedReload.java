import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A keyed request of a uwsgi caller comes again within its window, after operators moved its team to
 * another tenant (CHANGE=tenant, the default) or its operation to another class (CHANGE=class).
 */
final class KeyedReload {
  private static final String TEAM = "wheatland-group";
  private static final String BODY = "{\"card\":\"77\",\"cents\":2500}";

  public static void main(String[] args) throws Exception {
    Rig.main(args[0], KeyedReload::run);
  }

  private static boolean run() throws Exception {
    var index = new StandIns.IndexStandIn();
    var roster = new StandIns.RosterStandIn();
    var runtime = new StandIns.RuntimeStandIn("runtime", 6);
    var service = new Uwsgi.Service("service", "{\"loaded\":true}".getBytes(StandardCharsets.US_ASCII));
    int listen = Rig.freePort();
    int mgmt = Rig.freePort();
    int uwsgi = Rig.freePort();
    Path broker = Rig.folder().resolve("broker.yaml");
    String before = brokerFile(uwsgi, mgmt, service.port());
    Files.writeString(broker, before);
    Path tmp = Files.createDirectory(Rig.folder().resolve("tmp"));
    String config =
        Rig.config("n1", listen, runtime.port(), roster.port(), index.port(), mgmt, 4000, 192, 1024);
    Rig.Node node = Rig.Node.start("node", tmp, config, "--broker " + broker);
    Rig.await("the node is ready", 20_000, () -> Rig.get(mgmt, "/v1/readyz") == 200);

    String key = "load-" + Rig.newId();
    long firstMs = System.currentTimeMillis();
    String first = ask(uwsgi, key);
    String second = ask(uwsgi, key);
    if (!first.contains(" 200 ") || !second.contains(" 200 ") || service.seen.size() != 1) {
      throw new IllegalStateException("not served once before any change");
    }
    if (Rig.TROUBLE) {
      Files.writeString(broker, changed(before));
      node.signal("HUP");
      Rig.await("the reload is logged", 5_000, () -> node.logText().contains("configuration reloaded"));
    }
    Thread.sleep(1_000);
    ask(uwsgi, key);
    Rig.note(
        "the key ran " + service.seen.size() + " times, the last try came "
            + (System.currentTimeMillis() - firstMs) + " ms after the first, its window is 17226 ms");
    node.copyLog();
    return service.seen.size() == 1;
  }

  /** Returns deploy/broker.yaml with free ports, and the service as the backend of loads. */
  private static String brokerFile(int uwsgi, int mgmt, int service) throws Exception {
    String text = Files.readString(Rig.ROOT.resolve("deploy/broker.yaml"));
    text = Rig.set(text, "127.0.0.1:3031", "127.0.0.1:" + uwsgi);
    text = Rig.set(text, "127.0.0.1:3039", "127.0.0.1:" + mgmt);
    text =
        Rig.set(text, "  loads:\n    backend: sample\n", "  loads:\n    backend: uwsgi://127.0.0.1:" + service + "\n");
    return text.replace("descriptions/", Rig.ROOT + "/deploy/descriptions/");
  }

  private static String changed(String text) {
    if ("class".equals(System.getenv("CHANGE"))) {
      return Rig.set(text, "receiveLoad: {class: card-load,", "receiveLoad: {class: card-load-rush,");
    }
    int loads = text.indexOf("  loads:\n");
    return text.substring(0, loads)
        + Rig.set(
            text.substring(loads),
            "wheatland-group: {tenant: wheatland-group, quota_per_s: 60}",
            "wheatland-group: {tenant: wheatland-loads, quota_per_s: 40}");
  }

  private static String ask(int port, String key) throws Exception {
    try (Socket socket = Uwsgi.connect(port)) {
      socket.setSoTimeout(10_000);
      Rig.note("caller sends key " + key + " body " + BODY);
      socket
          .getOutputStream()
          .write(Uwsgi.request("POST", "/cards/loads", TEAM, key, BODY.getBytes(StandardCharsets.UTF_8)));
      String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      String answer = text.lines().findFirst().orElse("nothing") + " " + text.substring(text.indexOf("\r\n\r\n") + 4);
      Rig.note("caller gets " + answer);
      return answer;
    }
  }
}
