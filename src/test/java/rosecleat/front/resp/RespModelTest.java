package rosecleat.front.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.core.CoreSettings;
import rosecleat.core.Counters;
import rosecleat.core.DownstreamClient;
import rosecleat.core.Request;
import rosecleat.core.RequestClass;
import rosecleat.core.RunResult;
import rosecleat.core.Runner;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.net.MonotonicClock;
import rosecleat.policy.PolicyEngine;

/**
 * A balancer's connection against a model of its states: random steps, and after each the answers
 * are counted.
 */
class RespModelTest {
  /** What the model knows of the requests on the connection. */
  private static final class Model {
    final Map<Long, String> open = new TreeMap<>(); // tag to id, of those that run
    final List<String> expected = new ArrayList<>(); // tag and word and body, in any order
    long lastTag;
  }

  /** A runner that only notes its orders; the test says how runs end. */
  private static final class Orders implements Runner {
    final BlockingQueue<String> seen = new LinkedBlockingQueue<>();

    @Override
    public void start(Request request, long dueUs) {
      seen.add("start " + request.id() + " " + new String(request.body(), StandardCharsets.UTF_8));
    }

    @Override
    public void cancel(String id) {
      seen.add("stop " + id);
    }

    @Override
    public void completeCall(String id, byte[] reply) {}

    @Override
    public void skipCall(String id, long notice) {}
  }

  private static final class NoDownstream implements DownstreamClient {
    @Override
    public void call(String id, long untilUs, byte[] body) {}

    @Override
    public void cancel(String id) {}
  }

  private final Orders orders = new Orders();
  private EventLoop loop;
  private Core core;
  private RespFrontend front;
  private RespClient client;
  private Random random;
  private int lastId;

  @Property(tries = 60, seed = "20261201", shrinking = ShrinkingMode.OFF)
  void everyAnswerIsTheModels(
      @ForAll @Size(min = 5, max = 40) List<@IntRange(min = 0, max = 12) Integer> steps,
      @ForAll int seed)
      throws Exception {
    random = new Random(seed);
    try (Log log = new Log(new java.io.PrintStream(java.io.OutputStream.nullOutputStream()))) {
      NodeConfig config = TestSite.config(0, 0, 0, 3_000, 1_500);
      loop = new EventLoop(log);
      MonotonicClock clock = new MonotonicClock();
      List<RequestClass> classes =
          List.of(
              new RequestClass("balance-check", false, false, 0, 60_000_000),
              new RequestClass("card-refresh", false, true, 0, 60_000_000),
              new RequestClass("card-load", true, false, 4_000_000, 60_000_000));
      core =
          new Core(
              new CoreSettings(
                  TestSite.CORES,
                  classes,
                  List.of("big", "small"),
                  80_000,
                  1_500_000,
                  30_000_000,
                  1 << 20),
              new PolicyEngine(config.settings().policy(), config.settings().gaugeNames(), 5),
              new NoDownstream(),
              clock,
              new Counters(),
              log);
      front =
          new RespFrontend(
              loop,
              new InetSocketAddress("127.0.0.1", 0),
              100,
              core,
              new RequestCatalog(classes, List.of("big", "small"), orders),
              clock,
              log);
      front.listen();
      on(
          () -> {
            core.start(null, false, 0);
            return null;
          });
      client = new RespClient(front.port(), random);
      Model model = new Model();
      for (int step : steps) {
        step(step, model);
        check(model);
      }
      client.close();
      for (String id : model.open.values()) { // a connection's end means gone: the runs are stopped
        assertEquals("stop " + id, next());
      }
    } finally {
      client.close();
      loop.close();
    }
  }

  private void step(int step, Model model) throws Exception {
    List<Long> open = new ArrayList<>(model.open.keySet());
    if (step <= 2 && open.size() >= TestSite.CORES || step >= 3 && step <= 6 && open.isEmpty()) {
      return; // the model speaks of requests that run at once, so it asks for no more than there
      // are cores
    }
    long some = open.isEmpty() ? 0 : open.get(random.nextInt(open.size()));
    String id = model.open.get(some);
    switch (step) {
      case 0, 1, 2 -> ask(model);
      case 3, 4 -> {
        on(() -> end(id, RunResult.OK, "result of " + id));
        model.open.remove(some);
        model.expected.add(some + " OK result of " + id);
      }
      case 5 -> {
        on(() -> end(id, random.nextBoolean() ? RunResult.FAILED : RunResult.INTERRUPTED, null));
        model.open.remove(some);
        model.expected.add(some + " FAILED ");
      }
      case 6 -> { // withdrawn: its run is stopped, and no end of it is answered
        client.send(RespClient.array("UNDO", some));
        assertEquals("stop " + id, next());
        on(() -> end(id, random.nextBoolean() ? RunResult.CANCELLED : RunResult.OK, "too late"));
        model.open.remove(some);
      }
      case 7 -> client.send(RespClient.array("UNDO", model.lastTag + 1_000));
      case 8 -> {
        if (model.lastTag > 0) { // used before: a failed answer, and nothing runs
          client.send(
              RespClient.array("DO", model.lastTag, "balance-check", fields(newId()), "again"));
          model.expected.add(model.lastTag + " FAILED ");
        }
      }
      case 9 -> bad(model, "DO", "card-party", fields(newId()), "unknown class");
      case 10 ->
          bad(
              model,
              "DO",
              "balance-check",
              List.of(
                      fields(newId()) + ",kb=1",
                      fields("0"),
                      fields(newId()).replace("small", "nobody"),
                      fields(newId()).replace("at=", "at=x"),
                      "id",
                      "")
                  .get(random.nextInt(6)),
              "bad field");
      case 11 ->
          bad(
              model,
              "DO",
              "balance-check",
              fields(newId()),
              "o".repeat(random.nextBoolean() ? 2_049 : 20_000));
      default -> broken(model);
    }
  }

  private Object end(String id, RunResult how, String result) {
    core.runEnded(id, how, result == null ? null : result.getBytes(StandardCharsets.UTF_8), 1_000);
    return null;
  }

  private void ask(Model model) throws Exception {
    String id = newId();
    client.send(
        RespClient.array("DO", ++model.lastTag, "balance-check", fields(id), "body of " + id));
    model.open.put(model.lastTag, id);
    assertEquals("start " + id + " body of " + id, next());
  }

  private void bad(Model model, Object word, String klass, String fields, String body)
      throws IOException {
    client.send(RespClient.array(word, ++model.lastTag, klass, fields, body));
    model.expected.add(model.lastTag + " FAILED ");
  }

  /**
   * Bytes that make no sense end this connection alone: nothing behind them is heard, what was read
   * before them is still answered, and then the end comes in order. Sometimes the balancer goes
   * first: then what is open is stopped.
   */
  private void broken(Model model) throws Exception {
    try (RespClient other = new RespClient(front.port(), random)) {
      String junk =
          List.of(
                  "GET / HTTP/1.1\r\n\r\n",
                  "*2\r\n$1\r\nx\r\n$1\r\ny\r\n",
                  "*99\r\n",
                  "*1\r\n$-1\r\n")
              .get(random.nextInt(4));
      client.send(junk.getBytes(StandardCharsets.UTF_8));
      if (junk.indexOf('y')
          < 0) { // the one that is an array, if one without a tag, spoils nothing behind it
        client.send(
            RespClient.array("DO", ++model.lastTag, "balance-check", fields(newId()), "behind it"));
      }
      assertEquals("BYE", client.read().get(1));
      if (random.nextBoolean()) {
        client.close();
        List<String> stops = new ArrayList<>();
        for (int i = 0; i < model.open.size(); i++) {
          stops.add(next());
        }
        for (String id : model.open.values()) {
          assertTrue(stops.contains("stop " + id), id + " runs on");
          on(() -> end(id, RunResult.CANCELLED, null));
        }
      }
      for (long tag : client.isClosed() ? List.<Long>of() : List.copyOf(model.open.keySet())) {
        String id = model.open.get(tag);
        on(() -> end(id, RunResult.OK, "result of " + id));
        assertEquals(List.of(Long.toString(tag), "OK", "result of " + id), answered(client.read()));
      }
      if (!client.isClosed()) {
        assertNull(client.read(), "the connection goes on");
      }
      model.open.clear();
      other.send(RespClient.array("PING", 1, ""));
      assertEquals("UP", other.read().get(1));
    }
    client.close();
    client = new RespClient(front.port(), random);
    model.lastTag = 0;
  }

  /** A health check goes last; all that was owed has come before it, and nothing else. */
  private void check(Model model) throws Exception {
    on(() -> null);
    client.send(RespClient.array("PING", 900_000, ""));
    List<String> got = new ArrayList<>();
    for (List<String> words = client.read(); !words.get(1).equals("UP"); words = client.read()) {
      got.add(words.get(0) + " " + words.get(1) + " " + words.get(3));
    }
    got.sort(null);
    model.expected.sort(null);
    assertEquals(model.expected, got);
    model.expected.clear();
    assertNull(orders.seen.poll(), "an order nobody expected");
    assertEquals(model.open.size(), (int) on(() -> (int) core.awaitingResponse()));
  }

  private static List<String> answered(List<String> words) {
    return List.of(words.get(0), words.get(1), words.get(3));
  }

  private String next() throws InterruptedException {
    return orders.seen.poll(5, TimeUnit.SECONDS);
  }

  private String newId() {
    return String.format("%016x", ++lastId);
  }

  private static String fields(String id) {
    return RespClient.fields(id, "small", 50_000, null);
  }

  private <T> T on(Supplier<T> task) {
    CompletableFuture<T> done = new CompletableFuture<>();
    loop.execute(() -> done.complete(task.get()));
    return done.orTimeout(5, TimeUnit.SECONDS).join();
  }
}
