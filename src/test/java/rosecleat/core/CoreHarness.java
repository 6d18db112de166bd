package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import rosecleat.config.NodeConfig;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.policy.Idempotency;
import rosecleat.policy.PolicyEngine;

/**
 * A core with the policy of {@link TestSite}, a manually set clock, and a fake runner and
 * downstream client that record the commands they receive. Uses no protocol, threads or real time.
 */
final class CoreHarness implements AutoCloseable {
  static final long START_US = 1_800_000_000_000_000L;
  static final long TIMEOUT_US = 1_200_000;
  static final long WINDOW_US = 4_000_000;
  static final long GRACE_PERIOD_US = 1_500_000;
  static final int MAX_RESULT_BYTES = 1 << 20;

  static final int BALANCE_CHECK = 0;
  static final int CARD_REFRESH = 1;
  static final int CARD_LOAD = 2;

  private static final List<RequestClass> CLASSES =
      List.of(
          new RequestClass("balance-check", Idempotency.SAFE, false, 0, TIMEOUT_US),
          new RequestClass("card-refresh", Idempotency.SAFE, true, 0, TIMEOUT_US),
          new RequestClass("card-load", Idempotency.KEYED, false, WINDOW_US, TIMEOUT_US));

  private static final long TICK_US = 20_000;
  private static final long RUN_US = 10_000;

  /** An attempt as seen by its caller, with the responses received. */
  static final class Attempt implements Responder {
    final List<Response> responses = new ArrayList<>();
    final String id;
    RequestHandle handle;

    private Attempt(String id) {
      this.id = id;
    }

    @Override
    public void respond(Response response) {
      responses.add(response);
    }

    Response response() {
      assertEquals(1, responses.size(), "responses: " + responses);
      return responses.get(0);
    }

    String result() {
      byte[] result = assertInstanceOf(Response.Completed.class, response()).result();
      return new String(result, StandardCharsets.UTF_8);
    }

    Failure failure() {
      return assertInstanceOf(Response.Failed.class, response()).failure();
    }

    Progress failureProgress() {
      return failure().progress();
    }

    void assertRejected() {
      assertInstanceOf(Response.Rejected.class, response());
    }
  }

  /** The commands that the runner and the downstream client have received, in order. */
  final List<String> commands = new ArrayList<>();

  final Log log = new Log(new PrintStream(OutputStream.nullOutputStream()));
  final Core core;
  long nowUs = START_US;
  private int lastId;

  private final Runner runner =
      new Runner() {
        @Override
        public void start(Request request, DeliveryGuarantee guarantee, long deadlineUs) {
          commands.add("start " + request.id());
        }

        @Override
        public void cancel(String id) {
          commands.add("cancel run " + id);
        }

        @Override
        public void completeCall(String id, byte[] reply) {
          commands.add("complete call " + id);
        }

        @Override
        public void skipCall(String id, long callNumber) {
          commands.add("skip call " + id + " " + callNumber);
        }
      };

  private final DownstreamClient downstream =
      new DownstreamClient() {
        @Override
        public void call(String id, long untilUs, byte[] body) {
          commands.add("call " + id);
        }

        @Override
        public void cancel(String id) {
          commands.add("cancel call " + id);
        }
      };

  /** Returns the number of requests that the test has sent. */
  int requestsSent() {
    return lastId;
  }

  private CoreHarness(long maxResultBytes, IdempotencyClaims claims) {
    NodeConfig config = TestSite.config(0, 0, 0, 3_000, 1_500);
    core =
        new Core(
            settings(CLASSES, maxResultBytes),
            new PolicyEngine(config.settings().policy(), config.settings().gaugeNames(), 5),
            downstream,
            claims,
            new LocalStartedRuns(),
            () -> nowUs,
            new Counters(),
            log);
  }

  private static CoreSettings settings(List<RequestClass> classes, long maxResultBytes) {
    return new CoreSettings(
        TestSite.CORES,
        classes,
        List.of("big", "small"),
        80_000,
        GRACE_PERIOD_US,
        30_000_000,
        maxResultBytes);
  }

  /** Changes the window of idempotency keys, as a reload does. */
  void reloadWithWindow(long windowUs) {
    List<RequestClass> classes = new ArrayList<>(CLASSES);
    classes.set(
        CARD_LOAD, new RequestClass("card-load", Idempotency.KEYED, false, windowUs, TIMEOUT_US));
    core.reconfigure(settings(classes, MAX_RESULT_BYTES));
  }

  /** Returns a core that has not started. */
  static CoreHarness notStarted() {
    return new CoreHarness(MAX_RESULT_BYTES, IdempotencyClaims.SINGLE_PROCESS);
  }

  /** Returns a started core for a node with a single process. */
  static CoreHarness started() {
    return startedWith(MAX_RESULT_BYTES);
  }

  /** Returns a started core that caches at most {@code maxResultBytes} of results. */
  static CoreHarness startedWith(long maxResultBytes) {
    CoreHarness harness = new CoreHarness(maxResultBytes, IdempotencyClaims.SINGLE_PROCESS);
    harness.core.start(false, 0);
    return harness;
  }

  /** Returns a started core that shares these claims with peer processes. */
  static CoreHarness startedWith(IdempotencyClaims claims) {
    CoreHarness harness = new CoreHarness(MAX_RESULT_BYTES, claims);
    harness.core.start(false, 0);
    return harness;
  }

  /** Submits a request with a new id. */
  Attempt send(int classIndex, String idempotencyKey, String body) {
    lastId++;
    return sendWithLastId(classIndex, idempotencyKey, body, nowUs);
  }

  /** Submits a request with the id of the last one. */
  Attempt sendWithLastId(int classIndex, String idempotencyKey, String body, long arrivedAtUs) {
    Attempt attempt = new Attempt("id" + lastId);
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    Request request =
        new Request(
            attempt.id,
            arrivedAtUs,
            TIMEOUT_US,
            classIndex,
            CLASSES.get(classIndex).name(),
            0,
            1,
            false,
            10,
            0.5,
            idempotencyKey,
            Optional.ofNullable(idempotencyKey)
                .map(
                    key ->
                        RequestIdentity.ofStatedClass(
                            CLASSES.get(classIndex).name(), Optional.of("big"), key, bytes)),
            0,
            bytes,
            Map.of(),
            runner,
            attempt);
    attempt.handle = core.submit(request);
    return attempt;
  }

  /** Submits an idempotent request whose body is derived from its key. */
  Attempt sendLoad(String idempotencyKey) {
    return send(CARD_LOAD, idempotencyKey, "load " + idempotencyKey);
  }

  /** Submits an idempotent request as {@link #sendLoad} does, but with an earlier arrival time. */
  Attempt sendLoadArrivedAt(String idempotencyKey, long arrivedAtUs) {
    lastId++;
    return sendWithLastId(CARD_LOAD, idempotencyKey, "load " + idempotencyKey, arrivedAtUs);
  }

  void complete(Attempt attempt, String result) {
    byte[] output = result.getBytes(StandardCharsets.UTF_8);
    core.runEnded(attempt.id, RunResult.OK, output, RUN_US);
  }

  void end(Attempt attempt, RunResult result) {
    core.runEnded(attempt.id, result, RUN_US);
  }

  /** Advances the clock in steps of one tick and calls the core before each step. */
  void pass(long durationUs) {
    for (long endUs = nowUs + durationUs; nowUs < endUs; nowUs += TICK_US) {
      core.tick();
    }
  }

  /** Returns the number of runs that were started. */
  long starts() {
    return commands.stream().filter(command -> command.startsWith("start")).count();
  }

  @Override
  public void close() {
    log.close();
  }
}
