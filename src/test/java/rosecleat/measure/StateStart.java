package rosecleat.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import rosecleat.facts.Fact;
import rosecleat.facts.FactKind;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.FakeUwsgiService;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.state.StateFiles;

/**
 * A broker killed with SIGKILL under load and started again: its first five seconds with what it
 * kept, with nothing, and with files that are old or wrong. Each start gets the same arrivals, from
 * its own seed's source; the ways take turns.
 */
public final class StateStart {
  private static final int LEARN_MS = 12_000;
  private static final int WATCH_MS = 5_000;
  private static final int AIM_MS = 800;

  /** Requests that waited for the broker while it was down, and come at once. */
  private static final int WAITED = 40;

  private static final int REST_MS = 1_500;

  /** What came of one start. */
  private record Outcome(
      int sent, int inAim, double p99, Map<String, Integer> answers, String when) {
    int missed() {
      return sent - inAim;
    }
  }

  private final Path jar;
  private final Path work;
  private final double ratePerS;

  private StateStart(Path jar, Path work, double ratePerS) {
    this.jar = jar;
    this.work = work;
    this.ratePerS = ratePerS;
  }

  /** Arguments: the jar, a folder to work in, the number of seeds, requests a second. */
  public static void main(String[] args) throws Exception {
    Path work = Files.createDirectories(Path.of(args[1]));
    new StateStart(Path.of(args[0]), work, Double.parseDouble(args[3]))
        .all(Integer.parseInt(args[2]));
    System.exit(0); // stand-ins have threads
  }

  private void all(int seeds) throws Exception {
    Path learnt = work.resolve("learnt");
    wipe(learnt);
    play(learnt, LEARN_MS, 0, 1); // killed in the middle of its load
    Map<String, UnaryOperator<Fact>> ways = new LinkedHashMap<>();
    ways.put("cold", null);
    ways.put("warm", fact -> fact);
    ways.put(
        "3 days old", fact -> with(fact, fact.value(), fact.learnedAtUs() - 3 * 86_400_000_000L));
    ways.put(
        "20 minutes old, runs 4 times shorter then",
        fact ->
            with(
                fact,
                fact.kind() == FactKind.RUN_TIME ? fact.value() / 4 : fact.value(),
                fact.learnedAtUs() - 1_200_000_000L));
    ways.put(
        "poisoned: runs 10 times longer",
        fact ->
            with(
                fact,
                fact.kind() == FactKind.RUN_TIME
                    ? Math.min(799_000, fact.value() * 10)
                    : fact.value(),
                fact.learnedAtUs()));
    ways.put(
        "poisoned: limit 1000",
        fact ->
            with(fact, fact.kind() == FactKind.LIMIT ? 1_000 : fact.value(), fact.learnedAtUs()));
    ways.put(
        "poisoned: not finite, zero, huge",
        fact ->
            with(
                fact,
                new double[] {Double.NaN, 0, 1e300, Double.POSITIVE_INFINITY, -1}
                    [fact.kind().ordinal()],
                fact.learnedAtUs()));
    Map<String, List<Outcome>> outcomes = new LinkedHashMap<>();
    for (int seed = 1; seed <= seeds; seed++) {
      for (Map.Entry<String, UnaryOperator<Fact>> way : ways.entrySet()) {
        Path state = work.resolve("state");
        wipe(state);
        if (way.getValue() != null) {
          Files.createDirectories(state);
          StateFiles.rewrite(learnt, state, now(), way.getValue());
        }
        Outcome outcome = play(state, WATCH_MS, REST_MS, 100 + seed);
        outcomes.computeIfAbsent(way.getKey(), w -> new ArrayList<>()).add(outcome);
        System.err.println(way.getKey() + " seed " + seed + ": " + outcome);
      }
    }
    print(outcomes, seeds);
  }

  private static long now() {
    return System.currentTimeMillis() * 1000;
  }

  private static Fact with(Fact fact, double value, long atUs) {
    return new Fact(fact.kind(), fact.subject(), value, fact.weight(), atUs, fact.settingsDigest());
  }

  private void print(Map<String, List<Outcome>> outcomes, int seeds) {
    double cold = outcomes.get("cold").stream().mapToInt(Outcome::missed).sum();
    System.out.printf(
        Locale.ROOT,
        "%d starts each, %d requests at once and %.0f a second for %d s, aim %d ms%n%n",
        seeds,
        WAITED,
        ratePerS,
        WATCH_MS / 1000,
        AIM_MS);
    System.out.println(
        "| start | in aim | missed aims to cold's | p99, median of starts (ms) | missed by start"
            + " |");
    System.out.println("| --- | --- | --- | --- | --- |");
    outcomes.forEach(
        (way, all) -> {
          int sent = all.stream().mapToInt(Outcome::sent).sum();
          int in = all.stream().mapToInt(Outcome::inAim).sum();
          double[] p99 = all.stream().mapToDouble(Outcome::p99).sorted().toArray();
          System.out.printf(
              Locale.ROOT,
              "| %s | %.3f | %.2f | %.0f | %s |%n",
              way,
              (double) in / sent,
              (sent - in) / cold,
              p99[p99.length / 2],
              all.stream().map(o -> String.valueOf(o.missed())).toList());
        });
  }

  /** Starts a broker on a folder and loads it from its first moment on; kills it at the end. */
  private Outcome play(Path state, int ms, int restMs, long seed) throws Exception {
    try (FakeRuntime runtime = new FakeRuntime(3);
        FakeUwsgiService backend = new FakeUwsgiService()) {
      runtime.takes.put("balance-check", new int[] {3, 40});
      runtime.takes.put("card-load", new int[] {8, 150});
      int port = freePort();
      Path config =
          Files.writeString(
              work.resolve("config.json"),
              TestSite.config(runtime.port(), 0, 0, 2_000, 500)
                  .source()
                  .toString()
                  .replace("127.0.0.1:0", "127.0.0.1:" + port));
      Path broker =
          Files.writeString(
              work.resolve("broker.yaml"),
              BROKER.formatted(freePort(), backend.port(), state.toAbsolutePath()));
      Files.writeString(work.resolve("files.yaml"), FILES);
      ProcessBuilder command =
          new ProcessBuilder(
                  "java",
                  "-XX:+UseSerialGC",
                  "-XX:TieredStopAtLevel=1",
                  "-Xmx64m",
                  "-jar",
                  jar.toString(),
                  "serve",
                  "--broker",
                  broker.toString())
              .redirectErrorStream(true)
              .redirectOutput(work.resolve("broker.log").toFile());
      command.environment().put("PROXY_CONFIG", config.toString());
      Process process = command.start();
      try {
        return load(port, ms, restMs, seed);
      } finally {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
      }
    }
  }

  private Outcome load(int port, int ms, int restMs, long seed) throws Exception {
    RespClient client = connect(port);
    Map<Integer, Long> sent = new ConcurrentHashMap<>();
    Histogram latency = new Histogram(60_000_000L, 3);
    int[] inAim = new int[1];
    Map<String, Integer> answers = new TreeMap<>();
    int[] when = new int[2 * ms / 1000 + 1]; // misses by half seconds of sending
    Thread reader = new Thread(() -> read(client, sent, latency, inAim, answers, when), "answers");
    reader.setDaemon(true);
    reader.start();
    Random random = new Random(seed);
    long begin = System.nanoTime();
    started = begin;
    long next = begin;
    int tag = 0;
    while (next - begin < ms * 1_000_000L) {
      long wait = next - System.nanoTime();
      if (wait > 0) {
        TimeUnit.NANOSECONDS.sleep(wait);
      }
      tag++;
      boolean load = random.nextInt(10) == 0;
      sent.put(tag, next); // when it should have been sent
      client.send(
          RespClient.array(
              "DO",
              tag,
              load ? "card-load" : "balance-check",
              RespClient.fields(
                  String.format("%016x", seed << 32 | tag),
                  random.nextInt(3) == 0 ? "small" : "big",
                  1_200,
                  load ? "k" + seed + "-" + tag : null),
              "body"));
      next += tag < WAITED ? 0 : (long) (-Math.log(1 - random.nextDouble()) / ratePerS * 1e9);
    }
    Thread.sleep(restMs);
    if (restMs > 0) {
      client.close();
    }
    synchronized (latency) {
      for (int i = sent.size(); i > 0; i--) {
        latency.recordValue(60_000_000L); // no answer
      }
      return new Outcome(
          tag, inAim[0], latency.getValueAtPercentile(99) / 1000.0, answers, Arrays.toString(when));
    }
  }

  private static RespClient connect(int port) throws Exception {
    long end = System.nanoTime() + 15_000_000_000L;
    while (true) {
      try {
        RespClient client = new RespClient(port, null);
        client.send(RespClient.array("PING", 1, ""));
        if (client.read() != null) {
          return client;
        }
      } catch (IOException e) {
        if (System.nanoTime() > end) {
          throw e;
        }
      }
      Thread.sleep(5);
    }
  }

  private long started;

  private void read(
      RespClient client,
      Map<Integer, Long> sent,
      Histogram latency,
      int[] inAim,
      Map<String, Integer> answers,
      int[] when) {
    try {
      for (List<String> words = client.answer(); words != null; words = client.answer()) {
        Long at = sent.remove(Integer.parseInt(words.get(0)));
        if (at == null) {
          continue;
        }
        long us = (System.nanoTime() - at) / 1000;
        boolean served = words.get(1).equals("OK");
        synchronized (latency) {
          latency.recordValue(
              served
                  ? Math.min(us, 60_000_000L)
                  : 1_200_000); // one that failed cost its whole time
          boolean in = served && us <= AIM_MS * 1000L;
          inAim[0] += in ? 1 : 0;
          answers.merge(served && !in ? "late" : words.get(1), 1, Integer::sum);
          if (!in) {
            when[(int) Math.min(when.length - 1, (at - started) / 500_000_000L)]++;
          }
        }
      }
    } catch (IOException e) {
      return; // the load is over
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static void wipe(Path folder) throws IOException {
    if (Files.exists(folder)) {
      try (Stream<Path> all = Files.walk(folder)) {
        all.sorted((a, b) -> b.compareTo(a))
            .forEach(
                path -> {
                  try {
                    Files.delete(path);
                  } catch (IOException e) {
                    throw new UncheckedIOException(e);
                  }
                });
      }
    }
  }

  private static final String BROKER =
      """
      uwsgi: {listen: "127.0.0.1:%d"}
      descriptions: [openapi: files.yaml]
      services:
        files:
          backend: uwsgi://127.0.0.1:%d
          contract: {getFile: {class: file-read, aim_ms: 1000, deadline_ms: 1500, effect: pure}}
          budget: {till: {tenant: small}}
      state: {folder: %s, every_ms: 500}
      """;

  private static final String FILES =
      """
      openapi: 3.0.3
      info: {title: files, version: "1"}
      paths:
        /files/{name}:
          parameters: [{name: name, in: path, required: true, schema: {type: string}}]
          get: {operationId: getFile, responses: {"200": {description: ok}}}
      """;
}
