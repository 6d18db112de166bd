package rig2;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two card loads over uwsgi, which a team's service runs: one is answered with 200 bytes, one with
 * 300,000. The disruption: the callers lose their connections before the answer. The client tries
 * again, with the same key and body, through a balancer, on whose connection six other requests are
 * open. A repeat may be served with the result of the try that ran, or fail; the others have to be
 * answered.
 */
final class RetryOnOtherFront {
  private static final int SMALL = 200;
  private static final int LARGE = 300_000; // reply_bytes of deploy/broker.yaml allows 1,048,576
  private static final int OTHERS = 6;
  private static final int OTHERS_RUN_MS = 1_200;
  private static final int SERVICE_MS = 300;

  public static void main(String[] args) {
    Rig.main(args, RetryOnOtherFront::run);
  }

  private static String receipt(String body) {
    return (body.contains("large") ? "L" : "s").repeat(body.contains("large") ? LARGE : SMALL);
  }

  private static int run(Rig rig) throws Exception {
    Platform platform = new Platform(rig);
    platform.runtime.runMs.put("card-status", OTHERS_RUN_MS);
    AtomicInteger runs = new AtomicInteger();
    int service =
        rig.service(
            "service",
            (request, out) -> {
              runs.incrementAndGet();
              String body = Rig.ascii(request.body());
              rig.say("service runs " + body);
              Rig.sleep(SERVICE_MS);
              out.write(Rig.httpReply("application/octet-stream", Rig.latin(receipt(body))));
            });
    int uwsgi = Rig.freePort();
    String file =
        rig.write("broker.yaml", Platform.loads(rig, uwsgi, "uwsgi://127.0.0.1:" + service))
            .toString();
    Rig.Program node = platform.start("node", platform.runtime, 4000, " --broker " + file);
    node.awaitLog(20_000, "runtime is ready");
    boolean broken = false;
    for (String kind : new String[] {"small", "large"}) {
      broken |= !holds(rig, platform, uwsgi, kind);
    }
    rig.say("runs at the service: " + runs.get());
    return broken || runs.get() > 2 ? Rig.BROKEN : Rig.HELD;
  }

  private static boolean holds(Rig rig, Platform platform, int uwsgi, String kind)
      throws Exception {
    String body = "{\"card\":\"" + kind + "\",\"cents\":2500}";
    Map<String, String> vars =
        Rig.vars("POST", "/cards/loads", "aspen-dining", "HTTP_IDEMPOTENCY_KEY", "load-" + kind);
    if (rig.trouble) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), uwsgi), 2000);
        socket.getOutputStream().write(Rig.uwsgiPacket(vars, Rig.latin(body)));
        Rig.sleep(SERVICE_MS / 3);
        socket.setSoLinger(true, 0);
      }
      rig.say(kind + ": the caller's connection is reset before the answer");
      Rig.sleep(2 * SERVICE_MS);
    } else {
      Rig.Reply reply = Rig.ask(uwsgi, vars, Rig.latin(body), 8000);
      rig.say(kind + ": the caller gets " + reply.status() + ", " + reply.body().length + " bytes");
    }
    Rig.RespClient balancer = rig.new RespClient(platform.listen);
    List<Long> tags = new ArrayList<>();
    for (int i = 0; i < OTHERS; i++) {
      String id = String.format("%016x", (kind.equals("small") ? 0x2000 : 0x3000) + i);
      tags.add(
          balancer.send(
              "DO", "card-status", Platform.fields(id, Rig.nowMs(), 5700, ""), "request " + i));
    }
    Rig.sleep(200);
    long repeat = 0;
    if (rig.trouble) {
      String id = kind.equals("small") ? "00000000000000aa" : "00000000000000bb";
      String more = ",retry=1,once=load-" + kind;
      repeat =
          balancer.send("DO", "card-load", Platform.fields(id, Rig.nowMs(), 5700, more), body);
      tags.add(repeat);
    }
    Rig.await(5900, () -> balancer.ended || balancer.answers.keySet().containsAll(tags));
    boolean holds = true;
    for (long tag : tags) {
      Rig.Answer answer = balancer.answers.get(tag);
      boolean wrong =
          answer != null
              && tag == repeat
              && answer.word().equals("OK")
              && !Rig.ascii(answer.body()).equals(receipt(body));
      holds &= answer != null && !wrong;
      rig.say(kind + ": " + (tag == repeat ? "the repeat" : "another request") + " gets "
          + show(answer) + (wrong ? ", which NO RUN MADE" : ""));
    }
    rig.say(kind + ": the balancer's connection " + (balancer.ended ? "WAS ENDED" : "is open"));
    balancer.close();
    return holds;
  }

  private static String show(Rig.Answer answer) {
    if (answer == null) {
      return "NO ANSWER";
    }
    String text = Rig.ascii(answer.body()).replace("\n", "\\n");
    return answer.word() + " " + answer.body().length + " bytes "
        + text.substring(0, Math.min(60, text.length()));
  }
}
