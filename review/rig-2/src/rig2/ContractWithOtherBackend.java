package rig2;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A card load over uwsgi, run by a team's service and answered. The disruption: the contract's
 * service moves from that backend to the machine's runtime with SIGHUP, while traffic is live. The
 * client's repeat within the window, with the same key and body, has to get the first response.
 */
final class ContractWithOtherBackend {
  public static void main(String[] args) {
    Rig.main(args, ContractWithOtherBackend::run);
  }

  private static int run(Rig rig) throws Exception {
    Platform platform = new Platform(rig);
    AtomicInteger served = new AtomicInteger();
    byte[] receipt = Rig.latin("{\"receipt\":4711}");
    int service =
        rig.service(
            "service",
            (request, out) -> {
              served.incrementAndGet();
              rig.say("service runs " + Rig.ascii(request.body()));
              out.write(Rig.httpReply("application/json", receipt));
            });
    int uwsgi = Rig.freePort();
    String before = Platform.loads(rig, uwsgi, "uwsgi://127.0.0.1:" + service);
    String file = rig.write("broker.yaml", before).toString();
    Rig.Program node = platform.start("node", platform.runtime, 4000, " --broker " + file);
    node.awaitLog(20_000, "runtime is ready");
    byte[] body = Rig.latin("{\"card\":\"77\",\"cents\":2500}");
    Map<String, String> vars =
        Rig.vars("POST", "/cards/loads", "aspen-dining", "HTTP_IDEMPOTENCY_KEY", "load-1");
    Rig.Reply first = Rig.ask(uwsgi, vars, body, 8000);
    show(rig, "first response", first);
    if (first.status() != 200) {
      return Rig.COULD_NOT_RUN;
    }
    // without the disruption the file is read again too, and says the same
    rig.write("broker.yaml", rig.trouble ? Platform.loads(rig, uwsgi, "runtime") : before);
    node.signal("HUP");
    node.awaitLog(5000, "configuration reloaded");
    vars.put("HTTP_X_RETRY", "1");
    Rig.Reply repeat = Rig.ask(uwsgi, vars, body, 8000);
    show(rig, "response to the repeat", repeat);
    int runs = served.get() + platform.runtime.starts.size();
    rig.say("runs of the request: " + runs);
    boolean served200 = repeat.status() == 200;
    boolean wrong = served200 && !repeat.text().equals(first.text());
    return wrong || repeat.status() == 0 || runs > 1 ? Rig.BROKEN : Rig.HELD;
  }

  private static void show(Rig rig, String what, Rig.Reply reply) {
    rig.say(
        what + ": " + reply.status() + ", Content-Type " + reply.header("Content-Type") + ", body "
            + reply.text().replace("\n", "\\n"));
  }
}
