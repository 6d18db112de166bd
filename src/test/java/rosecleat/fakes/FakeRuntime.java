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
 * A fake of the machine's runtime as the protocol page describes it, with {@link TestSite#CORES}
 * cores. Each core executes one run at a time.
 */
public final class FakeRuntime extends FakeServer {
  private record Job(String id, String kind, byte[] body) {}

  private final ObjectMapper json = new ObjectMapper();
  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread thread = new Thread(r, "fake runtime");
            thread.setDaemon(true);
            return thread;
          });
  private final int workMs;
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<ObjectNode> numberedMessages = new ArrayList<>();
  private int busyCores;
  private Socket connection;
  public final List<String> commands = new ArrayList<>();

  /** The accepted start commands: id, kind and body. */
  public final List<String> starts = new ArrayList<>();

  /** The replies that runs received by give commands: the call's body and the reply. */
  public final List<String> gives = new ArrayList<>();

  /**
   * The number of next commands with a job that are lost. The connection that carried such a
   * command loses all later commands too.
   */
  public volatile int commandsToLose;

  /** The connection on which commands are lost. */
  private Socket lossyConnection;

  /** Whether each start command is answered with a nack. */
  public volatile boolean nackStarts;

  /** Text that is sent once, right after the next start command; empty for none. */
  public volatile String outputAfterNextStart = "";

  /** The delay between a sync command and the message that the runtime is ready. */
  public volatile long readyAfterMs;

  /** Whether gauge requests stay unanswered until the next sync command. */
  public volatile boolean gaugesUnansweredBeforeSync;

  /**
   * The reference of a gauge request. Immediately after the answer to the first such request, every
   * run ends or makes its next call, before the next command is read; empty for never.
   */
  public volatile String endRunsBehindGauges = "";

  /**
   * Run times by kind (ms): first on a core, then off it. Other kinds use the time on a core that
   * the constructor received, and no time off it.
   */
  public final Map<String, int[]> runTimesMs = new ConcurrentHashMap<>();

  /** The number of downstream calls of each run that makes any. */
  public volatile int callsPerRun = 1;

  private final Map<String, Integer> callsMade = new HashMap<>();
  private final Set<String> waiting = new HashSet<>();

  /** The connection on which no more messages are sent. */
  private Socket mutedConnection;

  /** Creates a runtime whose runs occupy a core for this time (ms). */
  public FakeRuntime(int workMs) {
    this.workMs = workMs;
  }

  /** Returns the result of a run with this body. */
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
      lossyConnection = socket;
    }
    if (socket == lossyConnection) {
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
      default -> throw new IOException("unknown command: " + command);
    }
  }

  private static byte[] decode(JsonNode command) {
    return Base64.getDecoder().decode(command.path("data").asText());
  }

  private void synchronize(Socket socket, int lastRead) {
    connection = socket;
    gaugesUnansweredBeforeSync = false;
    scheduler.schedule(() -> sendReady(lastRead), readyAfterMs, TimeUnit.MILLISECONDS);
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
    startQueuedRuns();
    if (!outputAfterNextStart.isEmpty()) {
      connection.getOutputStream().write(outputAfterNextStart.getBytes(StandardCharsets.UTF_8));
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
        .add(Math.min(1, busyCores / (double) TestSite.CORES))
        .add(busyCores + queue.size())
        .add(0.1)
        .add(3);
    send(load);
    if (reference.equals(endRunsBehindGauges)) {
      endRunsBehindGauges = "";
      advanceAllRuns();
    }
  }

  private void advanceAllRuns() {
    for (Job job : List.copyOf(jobs.values())) {
      if (callsMade.getOrDefault(job.id, 0) > 0) {
        callOrFinish(job);
      } else {
        endWithResult(job);
      }
    }
    queue.clear();
  }

  private synchronized void sendReady(int n) {
    send(json.createObjectNode().put("type", "ready").put("state", "warm").put("took", 100_000));
    numberedMessages.subList(n, numberedMessages.size()).forEach(this::send);
  }

  private void startQueuedRuns() {
    while (busyCores < TestSite.CORES && !queue.isEmpty()) {
      Job job = queue.remove();
      busyCores++;
      scheduler.schedule(() -> completeWorkOnCore(job), runTimesMs(job)[0], TimeUnit.MILLISECONDS);
    }
  }

  private synchronized void completeWorkOnCore(Job job) {
    busyCores--;
    callOrFinish(job);
    startQueuedRuns();
  }

  private void callOrFinish(Job job) {
    if (jobs.containsKey(job.id)) {
      if (job.kind.equals("card-refresh")) {
        callsMade.merge(job.id, 1, Integer::sum);
        waiting.add(job.id);
        byte[] body = callBody(job.id).getBytes(StandardCharsets.UTF_8);
        sendNumbered(
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
    scheduler.schedule(
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
    sendNumbered(end);
  }

  private void sendNumbered(ObjectNode message) {
    message.put("n", numberedMessages.size() + 1);
    numberedMessages.add(message);
    send(message);
  }

  /** Sends nothing more on the current connection, which stays open. */
  public synchronized void stopSending() {
    mutedConnection = connection;
  }

  private void send(ObjectNode message) {
    if (connection == mutedConnection) {
      return;
    }
    try {
      connection.getOutputStream().write((message + "\n").getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      // There is no connection: numbered messages are sent again after the next sync.
    }
  }

  /** Returns the number of accepted starts with this body. */
  public synchronized long startsOf(String body) {
    return starts.stream().filter(s -> s.endsWith(" " + body)).count();
  }

  /** Returns whether a request with this id was started. */
  public synchronized boolean started(String id) {
    return starts.stream().anyMatch(s -> s.startsWith(id + " "));
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
    super.close();
  }
}
