package rosecleat.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The machine's runtime as PROTOCOL describes it: so many cores, each doing one piece of work at a
 * time.
 */
public final class FakeRuntime extends FakeServer {
  private record Job(String id, String kind, byte[] body) {}

  private final ObjectMapper json = new ObjectMapper();
  private final ScheduledExecutorService work =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread thread = new Thread(r, "stand-in runtime");
            thread.setDaemon(true);
            return thread;
          });
  private final int workMs;
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<ObjectNode> notices = new ArrayList<>();
  private int busy;
  private Socket link;
  public final List<String> commands = new ArrayList<>();

  /** Each start: id and kind and body. */
  public final List<String> starts = new ArrayList<>();

  /** Each give: the call's body and its reply. */
  public final List<String> gives = new ArrayList<>();

  /**
   * So many commands are lost with the link they came by, and with them whatever comes behind the
   * first of them on that link.
   */
  public volatile int commandsToLose;

  private Socket losing;

  public volatile boolean nackStarts;

  /** Sent once, behind the next start. */
  public volatile String outputAfterNextStart = "";

  public volatile long readyAfterMs;

  /** No request for gauges is answered before the next connection is synchronized. */
  public volatile boolean gaugesUnansweredBeforeSync;

  /**
   * Every run ends, or reaches its next call, between the answer to the first request for gauges
   * with this reference and the next line that is read; empty for never.
   */
  public volatile String endRunsBehindGauges = "";

  /**
   * What runs of a kind take: on a core, and then waiting off it (ms). Others take the time given
   * at the start.
   */
  public final Map<String, int[]> runTimesMs = new ConcurrentHashMap<>();

  /** How many calls a run makes that makes any. */
  public volatile int callsPerRun = 1;

  private final Map<String, Integer> callsMade = new HashMap<>();
  private final Set<String> waiting = new HashSet<>();

  private Socket muted;

  public FakeRuntime(int workMs) {
    this.workMs = workMs;
  }

  /** What a run of this body brings. */
  public static String result(String body) {
    return "did " + body;
  }

  @Override
  protected void serve(Socket socket) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      command(socket, json.readTree(line));
    }
  }

  private synchronized void command(Socket socket, JsonNode command) throws IOException {
    String type = command.path("type").asText();
    String id = command.path("job").asText();
    if (commandsToLose > 0 && !id.isEmpty()) {
      commandsToLose--;
      losing = socket;
    }
    if (socket == losing) {
      return;
    }
    commands.add(type + " " + id);
    switch (type) {
      case "sync" -> synchronize(socket, command.path("n").asInt());
      case "start" -> start(id, command);
      case "stop" -> stop(id);
      case "give" -> give(id, decode(command));
      case "omit" -> finish(id, 1);
      case "gauges" -> sendGauges(command.path("ref").asText());
      default -> throw new IOException("no such command: " + command);
    }
  }

  private static byte[] decode(JsonNode command) {
    return Base64.getDecoder().decode(command.path("data").asText());
  }

  private void synchronize(Socket socket, int lastRead) {
    link = socket;
    gaugesUnansweredBeforeSync = false;
    work.schedule(() -> ready(lastRead), readyAfterMs, TimeUnit.MILLISECONDS);
  }

  private void start(String id, JsonNode command) throws IOException {
    if (nackStarts) {
      send(json.createObjectNode().put("type", "nack").put("state", "start").put("job", id));
      return;
    }
    if (jobs.containsKey(id)) {
      return;
    }
    Job job = new Job(id, command.path("kind").asText(), decode(command));
    starts.add(id + " " + job.kind + " " + new String(job.body, StandardCharsets.UTF_8));
    jobs.put(id, job);
    callsMade.remove(id);
    waiting.remove(id);
    queue.add(job);
    next();
    if (!outputAfterNextStart.isEmpty()) {
      link.getOutputStream().write(outputAfterNextStart.getBytes(StandardCharsets.UTF_8));
      outputAfterNextStart = "";
    }
  }

  private void stop(String id) {
    Job job = jobs.remove(id);
    if (job != null) {
      queue.remove(job);
      end(job, "halted", null);
    }
  }

  private void give(String id, byte[] reply) {
    if (!waiting.remove(id)) {
      return;
    }
    gives.add(callBody(id) + " -> " + new String(reply, StandardCharsets.UTF_8));
    if (callsMade.get(id) >= callsPerRun) {
      finish(id, 1);
    } else if (endRunsBehindGauges.isEmpty()) {
      callOrFinish(jobs.get(id));
    }
  }

  private void sendGauges(String reference) {
    if (gaugesUnansweredBeforeSync) {
      return;
    }
    ObjectNode load = json.createObjectNode().put("type", "load").put("ref", reference);
    load.putArray("gauges")
        .add(Math.min(1, busy / (double) TestSite.CORES))
        .add(busy + queue.size())
        .add(0.1)
        .add(3);
    send(load);
    if (reference.equals(endRunsBehindGauges)) {
      endRunsBehindGauges = "";
      moveAllRunsOn();
    }
  }

  private void moveAllRunsOn() {
    for (Job job : List.copyOf(jobs.values())) {
      if (callsMade.getOrDefault(job.id, 0) > 0) {
        callOrFinish(job);
      } else {
        endWithResult(job);
      }
    }
    queue.clear();
  }

  private synchronized void ready(int n) {
    send(json.createObjectNode().put("type", "ready").put("state", "warm").put("took", 100_000));
    notices.subList(n, notices.size()).forEach(this::send);
  }

  private void next() {
    while (busy < TestSite.CORES && !queue.isEmpty()) {
      Job job = queue.remove();
      busy++;
      work.schedule(() -> worked(job), runTimesMs(job)[0], TimeUnit.MILLISECONDS);
    }
  }

  private synchronized void worked(Job job) {
    busy--;
    callOrFinish(job);
    next();
  }

  private void callOrFinish(Job job) {
    if (jobs.containsKey(job.id)) {
      if (job.kind.equals("card-refresh")) {
        callsMade.merge(job.id, 1, Integer::sum);
        waiting.add(job.id);
        byte[] body = callBody(job.id).getBytes(StandardCharsets.UTF_8);
        notice(
            json.createObjectNode()
                .put("type", "wants")
                .put("job", job.id)
                .put("data", Base64.getEncoder().encodeToString(body)));
      } else {
        finish(job.id, runTimesMs(job)[1]);
      }
    }
  }

  private String callBody(String id) {
    int number = callsMade.get(id);
    return (number == 1 ? "call for " : "call " + number + " for ") + id;
  }

  private int[] runTimesMs(Job job) {
    return runTimesMs.getOrDefault(job.kind, new int[] {workMs, 0});
  }

  private void finish(String id, int afterMs) {
    work.schedule(
        () -> {
          synchronized (this) {
            Job job = jobs.get(id);
            if (job != null) {
              endWithResult(job);
            }
          }
        },
        afterMs,
        TimeUnit.MILLISECONDS);
  }

  private void endWithResult(Job job) {
    jobs.remove(job.id);
    end(job, "ok", result(new String(job.body, StandardCharsets.UTF_8)));
  }

  private void end(Job job, String state, String result) {
    ObjectNode end =
        json.createObjectNode()
            .put("type", "end")
            .put("job", job.id)
            .put("state", state)
            .put("took", runTimesMs(job)[0] + runTimesMs(job)[1]);
    if (result != null) {
      end.put("data", Base64.getEncoder().encodeToString(result.getBytes(StandardCharsets.UTF_8)));
    }
    notice(end);
  }

  private void notice(ObjectNode notice) {
    notice.put("n", notices.size() + 1);
    notices.add(notice);
    send(notice);
  }

  /** Says nothing more on the link there is, and keeps it open. */
  public synchronized void mute() {
    muted = link;
  }

  private void send(ObjectNode message) {
    if (link == muted) {
      return;
    }
    try {
      link.getOutputStream().write((message + "\n").getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      // no link just now: it follows after the next sync
    }
  }

  /** How often a body was started. */
  public synchronized long startsOf(String body) {
    return starts.stream().filter(s -> s.endsWith(" " + body)).count();
  }

  /** Whether a request of this id was started. */
  public synchronized boolean started(String id) {
    return starts.stream().anyMatch(s -> s.startsWith(id + " "));
  }

  @Override
  public void close() {
    work.shutdownNow();
    super.close();
  }
}
