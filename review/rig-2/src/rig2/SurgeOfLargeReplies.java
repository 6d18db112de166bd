package rig2;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A broker of fourteen teams' services with the limits of deploy/broker.yaml. One team asks for large
 * replies, within reply_bytes, which its services send in 900 ms; the other team asks for small
 * ones. The disruption is a surge: the first team sends five times its usual traffic for ten
 * seconds, which is what the broker can run at a time. Each request has to be answered once, by its
 * deadline of 8.6 s with 80 ms of slack and 50 ms on sockets.
 */
final class SurgeOfLargeReplies {
  private static final int SERVICES = 14;
  private static final int REPLY_BYTES = 1_040_000;
  private static final int CHUNKS = 20;
  private static final int SERVICE_MS = 900;
  private static final int USUAL_PER_S = 12;
  private static final int SURGE_FACTOR = 5;
  private static final int QUIET_MS = 3_000;
  private static final int SURGE_MS = 10_000;
  private static final int DEADLINE_MS = 8_600;
  private static final int SLACK_MS = 130;
  private static final int WAIT_MS = 15_000;

  private static final int CONNECTIONS = 128;

  /** Requests without an answer break the rule from 3 in 1,000 on. */
  private static final int ALLOWED_PER_1000 = 3;

  private static final AtomicInteger OPEN = new AtomicInteger();

  private record Result(
      String what, long sentAt, boolean accepted, int status, long tookMs, String note) {
    /** A request on a connection that the broker has no place for was never read. */
    boolean lost() {
      return accepted && !(status != 0 && tookMs <= DEADLINE_MS + SLACK_MS);
    }
  }

  public static void main(String[] args) {
    Rig.main(args, SurgeOfLargeReplies::run);
  }

  private static String descriptions() {
    StringBuilder text =
        new StringBuilder("openapi: 3.0.3\ninfo: {title: Reports, version: \"1\"}\npaths:\n");
    for (int i = 0; i < SERVICES; i++) {
      for (String kind : new String[] {"report", "balance"}) {
        text.append("  /t" + i + "/{card}/" + kind + ":\n    get:\n      operationId: " + kind + i)
            .append("\n      parameters: [{name: card, in: path, required: true,")
            .append(" schema: {type: string}}]\n      responses:\n")
            .append("        \"200\": {description: it, content: {text/plain: {example: x}}}\n");
      }
    }
    return text.toString();
  }

  private static String broker(int uwsgi, int service) {
    StringBuilder text =
        new StringBuilder("name: broker\nlimits: {memory_mb: 192, sockets: 1024}\nuwsgi:\n")
            .append("  listen: 127.0.0.1:" + uwsgi + "\n  connections: 128\n")
            .append("  limits: {packet_bytes: 16384, body_bytes: 65536, reply_bytes: 1048576,")
            .append(" replies_bytes: 8388608, read_ms: 5000, stall_ms: 5000, reply_ms: 30000}\n")
            .append("descriptions:\n  - openapi: teams.yaml\nservices:\n");
    for (int i = 0; i < SERVICES; i++) {
      text.append("  s" + i + ":\n    backend: uwsgi://127.0.0.1:" + service + "\n    contract:\n")
          .append("      report" + i + ": {class: report, aim_ms: 2300, deadline_ms: 8600,")
          .append(" effect: pure}\n      balance" + i + ": {class: balance-check, aim_ms: 2300,")
          .append(" deadline_ms: 8600, effect: pure}\n    budget:\n")
          .append("      wheatland-group: {quota_per_s: 60}\n")
          .append("      coulee-foods: {quota_per_s: 20}\n");
    }
    return text.toString();
  }

  private static int run(Rig rig) throws Exception {
    AtomicInteger atService = new AtomicInteger();
    AtomicInteger most = new AtomicInteger();
    byte[] large = new byte[REPLY_BYTES];
    java.util.Arrays.fill(large, (byte) 'x');
    byte[] reply = Rig.httpReply("text/plain", large);
    int service =
        rig.service(
            "service",
            (request, out) -> {
              if (request.vars().get("PATH_INFO").endsWith("/balance")) {
                Rig.sleep(20);
                out.write(Rig.httpReply("text/plain", Rig.latin("2500")));
                return;
              }
              most.accumulateAndGet(atService.incrementAndGet(), Math::max);
              try {
                writeSlowly(out, reply);
              } finally {
                atService.decrementAndGet();
              }
            });
    int uwsgi = Rig.freePort();
    rig.write("teams.yaml", descriptions());
    String file = rig.write("broker.yaml", broker(uwsgi, service)).toString();
    Rig.Program node = rig.start("broker", " --broker " + file, Map.of());
    node.awaitLog(20_000, "listens");
    List<Result> results = new CopyOnWriteArrayList<>();
    List<Thread> callers = new ArrayList<>();
    long startedAt = Rig.nowMs();
    long surgeAt = startedAt + QUIET_MS;
    long endAt = surgeAt + SURGE_MS;
    long nextLarge = startedAt;
    long nextSmall = startedAt;
    int number = 0;
    while (Rig.nowMs() < endAt + 1000) {
      long now = Rig.nowMs();
      if (now >= nextLarge && now < endAt) {
        boolean surge = rig.trouble && now >= surgeAt;
        nextLarge += 1000 / (USUAL_PER_S * (surge ? SURGE_FACTOR : 1));
        String path = "/t" + number++ % SERVICES + "/77/report";
        callers.add(rig.thread("caller", () -> ask(rig, uwsgi, path, "wheatland-group", results)));
      }
      if (now >= nextSmall) {
        nextSmall += 200;
        callers.add(
            rig.thread(
                "caller", () -> ask(rig, uwsgi, "/t0/77/balance", "coulee-foods", results)));
      }
      Rig.sleep(2);
    }
    for (Thread each : callers) {
      each.join(Math.max(1, endAt + WAIT_MS + 3000 - Rig.nowMs()));
    }
    int lost = 0;
    Map<String, Integer> counts = new java.util.TreeMap<>();
    for (Result each : results) {
      lost += each.lost() ? 1 : 0;
      String end = each.lost() ? "NO ANSWER" : each.accepted ? "" + each.status : "not accepted";
      counts.merge(each.what + " " + end, 1, Integer::sum);
      rig.say(
          each.what + " sent at " + (each.sentAt - startedAt) + " ms: "
              + (each.lost() ? "NO ANSWER IN TIME " : "") + each.status + " after "
              + each.tookMs + " ms " + each.note);
    }
    // afterwards, long after the surge: is the broker still there?
    Result after = once(uwsgi, "/t0/77/balance", "coulee-foods", 9_000);
    rig.say("afterwards a small request: " + after.status + " after " + after.tookMs + " ms");
    boolean hangs = after.lost();
    boolean dead = !node.process.isAlive();
    rig.say(
        "sent " + callers.size() + ", answers " + counts + ", most runs at once " + most.get()
            + ", lost " + lost + ", process " + (dead ? "dead" : hangs ? "HANGS" : "answers"));
    boolean tooMany = lost * 1000 >= ALLOWED_PER_1000 * callers.size();
    return tooMany || dead || hangs ? Rig.BROKEN : Rig.HELD;
  }

  private static void writeSlowly(OutputStream out, byte[] reply) throws Exception {
    int sent = 0;
    for (int chunk = 1; chunk <= CHUNKS; chunk++) {
      int until = (int) ((long) reply.length * chunk / CHUNKS);
      out.write(reply, sent, until - sent);
      sent = until;
      Rig.sleep(chunk < CHUNKS ? SERVICE_MS / CHUNKS : 0);
    }
  }

  private static void ask(Rig rig, int port, String path, String team, List<Result> results) {
    results.add(once(port, path, team, WAIT_MS));
  }

  private static Result once(int port, String path, String team, int waitMs) {
    String what = path.substring(path.lastIndexOf('/') + 1);
    long at = Rig.nowMs();
    boolean accepted = OPEN.incrementAndGet() < CONNECTIONS;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2000);
      socket.setSoTimeout(waitMs);
      socket.getOutputStream().write(Rig.uwsgiPacket(Rig.vars("GET", path, team), new byte[0]));
      Rig.Reply got = Rig.readReply(socket.getInputStream());
      String length = Integer.toString(got.body().length);
      boolean whole = got.status() != 0 && got.header("Content-Length").equals(length);
      String note = length + " bytes " + got.header("X-Progress");
      return new Result(what, at, accepted, whole ? got.status() : 0, Rig.nowMs() - at, note);
    } catch (Exception e) {
      return new Result(what, at, accepted, 0, Rig.nowMs() - at, e.toString());
    } finally {
      OPEN.decrementAndGet();
    }
  }
}
