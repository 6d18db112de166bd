package rosecleat.front.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import rosecleat.core.DeliveryGuarantee;
import rosecleat.core.Request;
import rosecleat.core.RequestClass;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.net.MonotonicClock;
import rosecleat.policy.Idempotency;

/**
 * Compares a client's connection with a model: the responses are checked after each random step.
 */
class RespConnectionModelTest {
  private static final List<RequestClass> CLASSES =
      List.of(
          new RequestClass("balance-check", Idempotency.SAFE, false, 0, 60_000_000),
          new RequestClass("card-refresh", Idempotency.SAFE, true, 0, 60_000_000),
          new RequestClass("card-load", Idempotency.KEYED, false, 4_000_000, 60_000_000));
  private static final long HEALTH_CHECK_TAG = 900_000;

  /** The model's state of the requests on the connection. */
  private static final class Model {
    /** The ids of the running requests by tag. */
    final Map<Long, String> running = new TreeMap<>();

    /** Tag, status and body of each expected response, in any order. */
    final List<String> expectedResponses = new ArrayList<>();

    long lastTag;

    /** Removes a running request and returns its id. */
    String removeRunning(long tag) {
      return running.remove(tag);
    }

    void expect(long tag, String statusAndBody) {
      expectedResponses.add(tag + " " + statusAndBody);
    }
  }

  /** A runner that only records its calls; the test reports the ends of runs. */
  private static final class RecordingRunner implements Runner {
    final BlockingQueue<String> commands = new LinkedBlockingQueue<>();

    @Override
    public void start(Request request, DeliveryGuarantee guarantee, long deadlineUs) {
      commands.add(
          "start " + request.id() + " " + new String(request.body(), StandardCharsets.UTF_8));
    }

    @Override
    public void cancel(String id) {
      commands.add("stop " + id);
    }

    @Override
    public void completeCall(String id, byte[] reply) {}

    @Override
    public void skipCall(String id, long callNumber) {}

    String nextCommand() throws InterruptedException {
      return commands.poll(5, TimeUnit.SECONDS);
    }
  }

  private final RecordingRunner runner = new RecordingRunner();
  private FrontendHarness harness;
  private RespClient client;
  private Random random;
  private int lastId;

  @Property(tries = 60, seed = "20261201", shrinking = ShrinkingMode.OFF)
  void responsesMatchTheModelAfterEachRandomStep(
      @ForAll @Size(min = 5, max = 40) List<@IntRange(min = 0, max = 12) Integer> steps,
      @ForAll int seed)
      throws Exception {
    random = new Random(seed);
    try (Log log = new Log(new PrintStream(OutputStream.nullOutputStream()))) {
      harness =
          new FrontendHarness(
              CLASSES,
              List.of("big", "small"),
              30_000_000,
              (loop, core) -> runner,
              new MonotonicClock(),
              log);
      harness.startCore();
      client = new RespClient(harness.port(), random);
      Model model = new Model();
      for (int step : steps) {
        step(step, model);
        check(model);
      }
      client.close();
      for (String id : model.running.values()) { // the close of a connection cancels its requests
        assertEquals("stop " + id, runner.nextCommand());
      }
    } finally {
      client.close();
      harness.close();
    }
  }

  private void step(int step, Model model) throws Exception {
    List<Long> running = new ArrayList<>(model.running.keySet());
    boolean starts = step <= 2;
    boolean ends = step >= 3 && step <= 6;
    // the model has no queue, so at most as many requests run as there are cores
    if ((starts && running.size() >= TestSite.CORES) || (ends && running.isEmpty())) {
      return;
    }
    long tag = running.isEmpty() ? 0 : running.get(random.nextInt(running.size()));
    switch (step) {
      case 0, 1, 2 -> submit(model);
      case 3, 4 -> complete(model, tag);
      case 5 -> fail(model, tag);
      case 6 -> cancel(model, tag);
      case 7 -> client.send(RespClient.array("UNDO", model.lastTag + 1_000));
      case 8 -> reuseTag(model);
      case 9 -> sendInvalid(model, "card-party", fields(newId()), "unknown class");
      case 10 -> sendInvalidField(model);
      case 11 -> sendTooLongBody(model);
      default -> sendMalformedBytes(model);
    }
  }

  private void submit(Model model) throws Exception {
    String id = newId();
    client.send(
        RespClient.array("DO", ++model.lastTag, "balance-check", fields(id), "body of " + id));
    model.running.put(model.lastTag, id);
    assertEquals("start " + id + " body of " + id, runner.nextCommand());
  }

  private void complete(Model model, long tag) {
    String id = model.removeRunning(tag);
    reportEnd(id, RunResult.OK, "result of " + id);
    model.expect(tag, "OK result of " + id);
  }

  private void fail(Model model, long tag) {
    RunResult result = random.nextBoolean() ? RunResult.FAILED : RunResult.INTERRUPTED;
    reportEnd(model.removeRunning(tag), result, null);
    model.expect(tag, "FAILED ");
  }

  /** A cancelled request receives no response, however its run ends. */
  private void cancel(Model model, long tag) throws Exception {
    String id = model.removeRunning(tag);
    client.send(RespClient.array("UNDO", tag));
    assertEquals("stop " + id, runner.nextCommand());
    reportEnd(id, random.nextBoolean() ? RunResult.CANCELLED : RunResult.OK, "too late");
  }

  private void reuseTag(Model model) throws Exception {
    if (model.lastTag > 0) {
      client.send(RespClient.array("DO", model.lastTag, "balance-check", fields(newId()), "again"));
      model.expect(model.lastTag, "FAILED ");
    }
  }

  private void sendInvalidField(Model model) throws Exception {
    List<String> invalidFields =
        List.of(
            fields(newId()) + ",kb=1",
            fields("0"),
            fields(newId()).replace("small", "nobody"),
            fields(newId()).replace("at=", "at=x"),
            "id",
            "");
    sendInvalid(
        model,
        "balance-check",
        invalidFields.get(random.nextInt(invalidFields.size())),
        "bad field");
  }

  private void sendTooLongBody(Model model) throws Exception {
    String fields = fields(newId());
    sendInvalid(model, "balance-check", fields, "o".repeat(random.nextBoolean() ? 2_049 : 20_000));
  }

  private void sendInvalid(Model model, String requestClass, String fields, String body)
      throws IOException {
    client.send(RespClient.array("DO", ++model.lastTag, requestClass, fields, body));
    model.expect(model.lastTag, "FAILED ");
  }

  /**
   * Malformed bytes end only the connection on which they are sent. Nothing after them is read, the
   * requests before them are answered, and then the connection is closed gracefully. If the client
   * closes the connection first, its requests are cancelled.
   */
  private void sendMalformedBytes(Model model) throws Exception {
    try (RespClient other = new RespClient(harness.port(), random)) {
      String malformed =
          List.of(
                  "GET / HTTP/1.1\r\n\r\n",
                  "*2\r\n$1\r\nx\r\n$1\r\ny\r\n",
                  "*99\r\n",
                  "*1\r\n$-1\r\n")
              .get(random.nextInt(4));
      client.send(malformed.getBytes(StandardCharsets.UTF_8));
      boolean isArrayWithoutTag = malformed.indexOf('y') >= 0; // the parser can read what follows
      if (!isArrayWithoutTag) {
        client.send(
            RespClient.array("DO", ++model.lastTag, "balance-check", fields(newId()), "behind it"));
      }
      assertEquals("BYE", client.read().get(1));
      if (random.nextBoolean()) {
        closeAndExpectCancellations(model);
      } else {
        completeAllAndExpectClose(model);
      }
      model.running.clear();
      other.send(RespClient.array("PING", 1, ""));
      assertEquals("UP", other.read().get(1));
    }
    client.close();
    client = new RespClient(harness.port(), random);
    model.lastTag = 0;
  }

  private void closeAndExpectCancellations(Model model) throws Exception {
    client.close();
    List<String> cancellations = new ArrayList<>();
    for (int count = 0; count < model.running.size(); count++) {
      cancellations.add(runner.nextCommand());
    }
    for (String id : model.running.values()) {
      assertTrue(cancellations.contains("stop " + id), id + " was not cancelled");
      reportEnd(id, RunResult.CANCELLED, null);
    }
  }

  private void completeAllAndExpectClose(Model model) throws Exception {
    for (Map.Entry<Long, String> request : model.running.entrySet()) {
      String result = "result of " + request.getValue();
      reportEnd(request.getValue(), RunResult.OK, result);
      List<String> response = client.read();
      assertEquals(
          List.of(Long.toString(request.getKey()), "OK", result),
          List.of(response.get(0), response.get(1), response.get(3)));
    }
    assertNull(client.read(), "connection was not closed");
  }

  /** Checks that exactly the expected responses arrive before the response to a health check. */
  private void check(Model model) throws Exception {
    harness.onLoop(() -> true);
    client.send(RespClient.array("PING", HEALTH_CHECK_TAG, ""));
    List<String> responses = new ArrayList<>();
    for (List<String> strings = client.read();
        !strings.get(1).equals("UP");
        strings = client.read()) {
      responses.add(strings.get(0) + " " + strings.get(1) + " " + strings.get(3));
    }
    responses.sort(null);
    model.expectedResponses.sort(null);
    assertEquals(model.expectedResponses, responses);
    model.expectedResponses.clear();
    assertNull(runner.commands.poll(), "unexpected command to the runner");
    assertEquals(
        model.running.size(), (int) harness.onLoop(() -> (int) harness.core.awaitingResponse()));
  }

  private void reportEnd(String id, RunResult result, String body) {
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    harness.runOnLoop(() -> harness.core.runEnded(id, result, bytes, 1_000));
  }

  private String newId() {
    return String.format("%016x", ++lastId);
  }

  private static String fields(String id) {
    return RespClient.fields(id, "small", 50_000, null);
  }
}
