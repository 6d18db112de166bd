package rig2;

import java.nio.file.Files;
import java.util.LinkedHashMap;
import java.util.Map;

/** A node on a platform of stand-ins, with the settings of deploy/example.json. */
final class Platform {
  final Rig rig;
  final Rig.RuntimeStandIn runtime;
  final int listen;

  /** The node's limit on memory. */
  int memoryMb = 192;

  private final int roster;
  private final int index;

  Platform(Rig rig) throws Exception {
    this.rig = rig;
    listen = Rig.freePort();
    runtime = rig.new RuntimeStandIn("runtime");
    roster = rig.roster();
    index = rig.index();
  }

  /** Starts a process of the node; its arguments begin with a space. */
  Rig.Program start(String name, Rig.RuntimeStandIn itsRuntime, long stopMs, String arguments)
      throws Exception {
    Map<String, String> values = new LinkedHashMap<>();
    values.put("listen", "\"127.0.0.1:" + listen + "\"");
    values.put("runtime", "\"127.0.0.1:" + itsRuntime.port + "\"");
    values.put("roster", "\"127.0.0.1:" + roster + "\"");
    values.put("index", "\"127.0.0.1:" + index + "\"");
    values.put("stop_ms", Long.toString(stopMs));
    values.put("memory_mb", Integer.toString(memoryMb));
    String config = rig.write(name + ".json", rig.platformConfig(values)).toString();
    Files.createDirectories(rig.temporary.resolve("shared"));
    return rig.start(
        name,
        arguments,
        Map.of(
            "PROXY_NAME", "example",
            "PROXY_LISTEN", "127.0.0.1:" + listen,
            "PROXY_CONFIG", config,
            "TMPDIR", rig.temporary.resolve("shared").toString()));
  }

  /** Returns the broker's file of deploy/broker.yaml for card loads, with another backend. */
  static String loads(Rig rig, int uwsgi, String backend) {
    return "uwsgi:\n  listen: 127.0.0.1:" + uwsgi + "\n"
        + "descriptions:\n  - asyncapi: " + rig.repo.resolve("deploy/descriptions/loads.yaml") + "\n"
        + "services:\n  loads:\n    backend: " + backend + "\n    contract:\n"
        + "      receiveLoad: {class: card-load, aim_ms: 1700, deadline_ms: 5700, effect: token,"
        + " window_ms: 17226}\n"
        + "    budget:\n      aspen-dining: {tenant: aspen-dining, quota_per_s: 20}\n";
  }

  static String fields(String id, long at, long waitMs, String more) {
    return "id=" + id + ",at=" + at + ",from=1,tenant=aspen-dining,wait=" + waitMs
        + ",kb=10,rank=0.5" + more;
  }
}
