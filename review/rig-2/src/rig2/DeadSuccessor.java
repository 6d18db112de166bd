package rig2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An upgrade: a second process of the node starts, the first gets SIGTERM. The disruption: the
 * second process is killed before it listens. What reaches the node later than the grace period
 * (2.5 s, and 50 ms on sockets) after SIGTERM may not be run, and all that was read has to be
 * answered before SIGKILL, which follows SIGTERM by stop_ms (3.2 s, as in the example of DEPLOY).
 */
final class DeadSuccessor {
  private static final long GRACE_MS = 2_500;
  private static final long SLACK_MS = 50;
  private static final long STOP_MS = 3_200;
  private static final long SUCCESSOR_LIVES_MS = 900;
  private static final long SUCCESSOR_READY_MS = 1_500;
  private static final long SEND_EVERY_MS = 50;
  private static final int RUN_MS = 300;

  private record Sent(String id, long sinceTermMs, Rig.RespClient client, long tag) {}

  public static void main(String[] args) {
    Rig.main(args, DeadSuccessor::run);
  }

  private static int run(Rig rig) throws Exception {
    Platform platform = new Platform(rig);
    Rig.RuntimeStandIn newRuntime = rig.new RuntimeStandIn("runtime of the new process");
    platform.runtime.defaultRunMs = RUN_MS;
    newRuntime.defaultRunMs = RUN_MS;
    Rig.Program old = platform.start("old", platform.runtime, STOP_MS, "");
    old.awaitLog(20_000, "runtime is ready");
    Rig.RespClient client = rig.new RespClient(platform.listen);
    newRuntime.readyAt = Long.MAX_VALUE; // it comes up later than the process
    Rig.Program successor = platform.start("new", newRuntime, STOP_MS, "");
    successor.awaitLog(20_000, "takes over from a predecessor");
    Rig.sleep(500);
    long termAt = Rig.nowMs();
    newRuntime.readyAt = termAt + SUCCESSOR_READY_MS;
    old.signal("TERM");
    List<Sent> sent = new ArrayList<>();
    boolean killed = !rig.trouble;
    int number = 0;
    long nextSend = termAt;
    while (Rig.nowMs() < termAt + STOP_MS) {
      long now = Rig.nowMs();
      if (!killed && now >= termAt + SUCCESSOR_LIVES_MS) {
        successor.signal("KILL");
        killed = true;
      }
      if (now >= nextSend) {
        nextSend += SEND_EVERY_MS;
        client = usable(rig, client, platform.listen);
        if (client != null) {
          send(rig, client, number++, termAt, sent);
        }
      }
      Rig.sleep(5);
    }
    if (old.process.isAlive()) {
      old.signal("KILL");
    }
    rig.say("stop_ms is over, " + (Rig.nowMs() - termAt) + " ms after SIGTERM");
    Rig.sleep(1_000); // what the successor has read, it answers
    return judge(rig, platform, sent, termAt);
  }

  /** A balancer that heeds BYE; a refused connection proves that nothing ran. */
  private static Rig.RespClient usable(Rig rig, Rig.RespClient client, int port) {
    if (client != null && !client.bye && !client.ended) {
      return client;
    }
    try {
      return rig.new RespClient(port);
    } catch (IOException e) {
      rig.say("connection refused");
      return null;
    }
  }

  private static void send(
      Rig rig, Rig.RespClient client, int number, long termAt, List<Sent> sent) {
    String id = String.format("%016x", 0x1000 + number);
    long at = Rig.nowMs();
    try {
      long tag =
          client.send("DO", "card-status", Platform.fields(id, at, 5700, ""), "request " + id);
      sent.add(new Sent(id, at - termAt, client, tag));
    } catch (IOException e) {
      rig.say("not sent " + (at - termAt) + " ms after SIGTERM: " + e.getMessage());
    }
  }

  private static int judge(Rig rig, Platform platform, List<Sent> sent, long termAt) {
    int runLate = 0;
    int unanswered = 0;
    for (Sent each : sent) {
      Rig.Answer answer = each.client.answers.get(each.tag);
      boolean ranAtOld = platform.runtime.starts.stream().anyMatch(s -> s.id().equals(each.id));
      boolean late = ranAtOld && each.sinceTermMs > GRACE_MS + SLACK_MS;
      // within 50 ms of a close, a balancer sends the request once more elsewhere
      boolean crossedClose = answer == null && !ranAtOld && each.client.ended;
      runLate += late ? 1 : 0;
      unanswered += answer == null && !crossedClose ? 1 : 0;
      rig.say(
          each.id + " sent " + each.sinceTermMs + " ms after SIGTERM: "
              + (answer == null
                  ? crossedClose ? "crossed a close" : "NO ANSWER"
                  : answer.word() + " at " + (answer.atMs() - termAt) + " ms")
              + (ranAtOld ? ", run by the old process" : "")
              + (late ? " TOO LATE" : ""));
    }
    rig.say("sent " + sent.size() + ", run too late " + runLate + ", unanswered " + unanswered);
    return runLate > 0 || unanswered > 0 ? Rig.BROKEN : Rig.HELD;
  }
}
