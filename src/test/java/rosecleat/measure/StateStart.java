package rosecleat.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import rosecleat.facts.Fact;
import rosecleat.facts.FactKind;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.FakeUwsgiService;
import rosecleat.fakes.TestSite;
import rosecleat.state.StateFiles;

/**
 * Measures the first five seconds of a broker that is started again after a SIGKILL under load:
 * with the state that it saved, without state, and with old or wrong state. For each seed, every
 * variant gets the same arrivals; the variants alternate.
 */
public final class StateStart {
  private static final int LEARN_MS = 12_000;
  private static final int LOAD_MS = 5_000;
  private static final int RESPONSE_WAIT_MS = 1_500;
  private static final int FIRST_SEED = 101;
  private static final long MINUTE_US = 60_000_000;
  private static final long DAY_US = 24 * 60 * MINUTE_US;

  /** The maximum run time that the test site's settings allow (us). */
  private static final double MAX_RUN_TIME_US = 799_000;

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
        .run(Integer.parseInt(args[2]));
    System.exit(0); // Threads of the fakes may still run.
  }

  private void run(int seeds) throws Exception {
    Path learned = work.resolve("learnt");
    wipe(learned);
    loadBroker(learned, LEARN_MS, 0, 1); // The broker is killed during its load.
    Map<String, UnaryOperator<Fact>> variants = variants();
    Map<String, List<StartLoad.Outcome>> outcomes = new LinkedHashMap<>();
    variants.keySet().forEach(variant -> outcomes.put(variant, new ArrayList<>()));
    for (int seed = 1; seed <= seeds; seed++) {
      for (Map.Entry<String, UnaryOperator<Fact>> variant : variants.entrySet()) {
        Path state = work.resolve("state");
        wipe(state);
        if (!variant.getKey().equals("cold")) {
          Files.createDirectories(state);
          long nowUs = System.currentTimeMillis() * 1000;
          StateFiles.rewrite(learned, state, nowUs, variant.getValue());
        }
        StartLoad.Outcome outcome =
            loadBroker(state, LOAD_MS, RESPONSE_WAIT_MS, FIRST_SEED - 1 + seed);
        outcomes.get(variant.getKey()).add(outcome);
        System.err.println(variant.getKey() + " seed " + seed + ": " + outcome);
      }
    }
    print(outcomes, seeds);
  }

  /** Returns the change of the saved facts by variant. */
  private static Map<String, UnaryOperator<Fact>> variants() {
    Map<String, UnaryOperator<Fact>> variants = new LinkedHashMap<>();
    variants.put("cold", UnaryOperator.identity());
    variants.put("warm", UnaryOperator.identity());
    variants.put("3 days old", fact -> older(fact, 3 * DAY_US));
    variants.put(
        "20 minutes old, runs 4 times shorter then",
        fact -> older(withRunTime(fact, fact.value() / 4), 20 * MINUTE_US));
    variants.put(
        "poisoned: runs 10 times longer",
        fact -> withRunTime(fact, Math.min(MAX_RUN_TIME_US, fact.value() * 10)));
    variants.put(
        "poisoned: limit 1000",
        fact -> fact.kind() == FactKind.LIMIT ? withValue(fact, 1_000) : fact);
    variants.put("poisoned: not finite, zero, huge", StateStart::withImpossibleValue);
    return variants;
  }

  private static Fact withRunTime(Fact fact, double value) {
    return fact.kind() == FactKind.RUN_TIME ? withValue(fact, value) : fact;
  }

  private static Fact withImpossibleValue(Fact fact) {
    List<Double> values = List.of(Double.NaN, 0.0, 1e300, Double.POSITIVE_INFINITY, -1.0);
    int position = List.of(FactKind.values()).indexOf(fact.kind());
    return withValue(fact, values.get(position));
  }

  private static Fact withValue(Fact fact, double value) {
    return new Fact(
        fact.kind(),
        fact.subject(),
        value,
        fact.weight(),
        fact.learnedAtUs(),
        fact.settingsDigest());
  }

  private static Fact older(Fact fact, long byUs) {
    return new Fact(
        fact.kind(),
        fact.subject(),
        fact.value(),
        fact.weight(),
        fact.learnedAtUs() - byUs,
        fact.settingsDigest());
  }

  private void print(Map<String, List<StartLoad.Outcome>> outcomes, int seeds) {
    double cold = outcomes.get("cold").stream().mapToInt(StartLoad.Outcome::missed).sum();
    System.out.printf(
        Locale.ROOT,
        "%d starts each, %d requests at once and %.0f a second for %d s, aim %d ms%n%n",
        seeds,
        StartLoad.WAITING_REQUESTS,
        ratePerS,
        LOAD_MS / 1000,
        StartLoad.OBJECTIVE_MS);
    System.out.println(
        "| start | in aim | missed aims to cold's | p99, median of starts (ms) | missed by start"
            + " |");
    System.out.println("| --- | --- | --- | --- | --- |");
    outcomes.forEach((variant, starts) -> printRow(variant, starts, cold));
  }

  private static void printRow(String variant, List<StartLoad.Outcome> starts, double coldMissed) {
    int sent = starts.stream().mapToInt(StartLoad.Outcome::sent).sum();
    int inObjective = starts.stream().mapToInt(StartLoad.Outcome::inObjective).sum();
    double[] p99 = starts.stream().mapToDouble(StartLoad.Outcome::p99Ms).sorted().toArray();
    System.out.printf(
        Locale.ROOT,
        "| %s | %.3f | %.2f | %.0f | %s |%n",
        variant,
        (double) inObjective / sent,
        (sent - inObjective) / coldMissed,
        p99[p99.length / 2],
        starts.stream().map(start -> String.valueOf(start.missed())).toList());
  }

  /** Starts a broker on a state folder, loads it from its start on and then kills it. */
  private StartLoad.Outcome loadBroker(Path state, int durationMs, int responseWaitMs, long seed)
      throws Exception {
    try (FakeRuntime runtime = new FakeRuntime(3);
        FakeUwsgiService backend = new FakeUwsgiService()) {
      runtime.runTimesMs.put("balance-check", new int[] {3, 40});
      runtime.runTimesMs.put("card-load", new int[] {8, 150});
      int port = freePort();
      Process broker = startBroker(state, port, runtime.port(), backend.port());
      try {
        return StartLoad.run(port, durationMs, responseWaitMs, ratePerS, seed);
      } finally {
        broker.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
      }
    }
  }

  private Process startBroker(Path state, int port, int runtimePort, int backendPort)
      throws IOException {
    String site =
        TestSite.config(runtimePort, 0, 0, 2_000, 500)
            .source()
            .toString()
            .replace("127.0.0.1:0", "127.0.0.1:" + port);
    Path config = Files.writeString(work.resolve("config.json"), site);
    Path broker =
        Files.writeString(
            work.resolve("broker.yaml"),
            BROKER.formatted(freePort(), backendPort, state.toAbsolutePath()));
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
    return command.start();
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
}
