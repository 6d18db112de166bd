package rosecleat.node;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosecleat.node.NodeProbe.ask;
import static rosecleat.node.NodeProbe.counter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.cli.Main;
import rosecleat.config.BrokerConfig;
import rosecleat.config.ConfigException;
import rosecleat.config.NodeConfig;
import rosecleat.config.NodeConfigReader;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.fakes.Await;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.FakeUwsgiService;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.policy.Estimate;
import rosecleat.takeover.TakeoverCoordinator;

/**
 * A node that persists its estimates: restarted, with changed settings, beside another process, and
 * with an unusable folder.
 */
class StatePersistenceTest {
  private static final String STATE = "\nstate: {folder: kept, every_ms: 100}\n";
  private final FakeRuntime runtime = new FakeRuntime(30);
  private final FakeUwsgiService backend = new FakeUwsgiService();
  private final Log log = new Log(System.err);
  private Node node;

  @TempDir Path folder;

  @AfterEach
  void stop() {
    if (node != null) {
      node.close();
    }
    runtime.close();
    backend.close();
    log.close();
  }

  private NodeConfig config() {
    return TestSite.config(runtime.port(), 0, 0, 2_000, 500);
  }

  private ProcessConfig setup(String more) throws IOException {
    return new ProcessConfig(
        config(), Optional.of(NodeHarness.broker(folder, backend.port(), config(), more)));
  }

  private Node start(NodeConfig config, Path shared) throws IOException {
    Counters counters = new Counters();
    BrokerConfig broker = NodeHarness.broker(folder, backend.port(), config, STATE);
    Node fresh =
        new Node(
            new ProcessConfig(config, Optional.of(broker)),
            new NodeEnvironment(
                new EventLoop(log),
                TakeoverCoordinator.join(Optional.ofNullable(shared), counters, log),
                EstimatePersistence.of(Optional.of(broker), log),
                new NoFleet(),
                counters,
                log));
    fresh.start();
    return fresh;
  }

  private void serve(Node by, int count) throws Exception {
    try (RespClient client = new RespClient(by.port(), null)) {
      for (int i = 1; i <= count; i++) {
        client.send(
            RespClient.array(
                "DO",
                "" + i,
                "balance-check",
                RespClient.fields(String.format("%016x", System.nanoTime()), "small", 1_000, null),
                "body"));
        assertTrue(client.answer() != null);
      }
    }
  }

  private JsonNode facts() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    assertEquals(
        0,
        Main.run(
            new String[] {"state", "show", "--json", folder.resolve("kept").toString()},
            Map.of(),
            new ByteArrayInputStream(new byte[0]),
            out));
    return new ObjectMapper().readTree(out.toString(UTF_8)).path("facts");
  }

  private boolean isStored(String kind) {
    try {
      for (JsonNode fact : facts()) {
        if (fact.path("kind").asText().equals(kind)) {
          return true;
        }
      }
      return false;
    } catch (IOException e) {
      return false; // the folder is being written at this moment
    }
  }

  /** Runs a node until it has stored estimates, and closes it. */
  private void storeEstimatesAndStop() throws Exception {
    node = start(config(), null);
    Await.until(() -> ask(node, Core::ready) && counter(node, "state.opened") == 1);
    serve(node, 12);
    Await.until(() -> isStored("run-time") && counter(node, "state.saves") > 0);
    node.close();
    node = null;
  }

  @Test
  void restartedNodeStartsWithStoredEstimates() throws Exception {
    storeEstimatesAndStop();
    node = start(config(), null);
    Await.until(() -> counter(node, "state.taken") >= 3);
    List<Estimate> estimates = node.estimates().get(5, TimeUnit.SECONDS);
    double us =
        estimates.stream()
            .filter(l -> l.subject().equals("balance-check"))
            .findFirst()
            .orElseThrow()
            .value();
    assertTrue(
        us > 20_000 && us < 100_000, "estimate of runs of 30 ms before the first run (us): " + us);
  }

  @Test
  void changedSettingsDropStoredEstimates() throws Exception {
    storeEstimatesAndStop();
    String other =
        config().source().toString().replace("\"deadline-us\":1200000", "\"deadline-us\":1300000");
    node = start(NodeConfigReader.parse(other, Map.of()), null);
    Await.until(() -> counter(node, "state.dropped.other_terms") > 0);
    node.close();
    node =
        start(
            NodeConfigReader.parse(
                config().source().toString().replace("\"t1\"", "\"t2\""), Map.of()),
            null);
    Await.until(() -> counter(node, "state.dropped.other_node") > 0);
    assertEquals(0, counter(node, "state.taken"));
  }

  @Test
  void damagedFilesAreTreatedAsMissing() throws Exception {
    storeEstimatesAndStop();
    Path kept = folder.resolve("kept");
    try (Stream<Path> files = Files.list(kept)) {
      for (Path file : files.filter(f -> !f.endsWith("LOCK")).toList()) {
        byte[] bytes = Files.readAllBytes(file);
        for (int i = 0; i < bytes.length; i += 7) {
          bytes[i] ^= 0x55;
        }
        Files.write(file, bytes);
      }
    }
    assertEquals(
        3,
        Main.run(
            new String[] {"state", "verify", kept.toString()},
            Map.of(),
            null,
            new ByteArrayOutputStream()));
    node = start(config(), null);
    Await.until(() -> counter(node, "state.opened") == 1);
    serve(node, 5);
    Await.until(() -> isStored("run-time"));
    assertEquals(
        0,
        Main.run(
            new String[] {"state", "verify", kept.toString()},
            Map.of(),
            null,
            new ByteArrayOutputStream()));
  }

  @Test
  void unusableFolderLeavesTheNodeServing() throws Exception {
    // A file in place of the folder, since root may write to any other folder.
    Files.createFile(folder.resolve("kept"));
    node = start(config(), null);
    Await.until(() -> ask(node, Core::ready));
    serve(node, 3);
    assertEquals(0, counter(node, "state.opened"));
  }

  @Test
  void shutdownStoresTheLastEstimates() throws Exception {
    BrokerConfig broker =
        NodeHarness.broker(
            folder, backend.port(), config(), "\nstate: {folder: kept, every_ms: 3600000}\n");
    Counters counters = new Counters();
    node =
        new Node(
            new ProcessConfig(config(), Optional.of(broker)),
            new NodeEnvironment(
                new EventLoop(log),
                TakeoverCoordinator.join(Optional.empty(), counters, log),
                EstimatePersistence.of(Optional.of(broker), log),
                new NoFleet(),
                counters,
                log));
    node.start();
    Await.until(() -> counter(node, "state.opened") == 1 && ask(node, Core::ready));
    serve(node, 12);
    assertFalse(isStored("run-time"), "stored before the save interval has elapsed");
    CompletableFuture<Void> left = new CompletableFuture<>();
    node.beginShutdown(() -> left.complete(null));
    left.get(10, TimeUnit.SECONDS);
    node.awaitStored(2_000);
    assertTrue(isStored("run-time"));
  }

  @Test
  void predecessorReleasesTheFolderToItsSuccessor() throws Exception {
    Path shared = Files.createDirectory(folder.resolve("shared"));
    Node older = start(config(), shared);
    node = older;
    Await.until(() -> ask(older, Core::ready) && counter(older, "state.opened") == 1);
    serve(older, 12);
    Await.until(() -> isStored("run-time"));
    FakeRuntime second = new FakeRuntime(30);
    try {
      String same =
          TestSite.config(second.port(), 0, 0, 2_000, 500)
              .source()
              .toString()
              .replace("127.0.0.1:0", "127.0.0.1:" + older.port());
      Node newer = start(NodeConfigReader.parse(same, Map.of()), shared);
      node = newer;
      Await.until(() -> counter(newer, "state.taken") >= 3);
      assertEquals(0, counter(newer, "state.opened"), "the predecessor still owns the folder");
      CompletableFuture<Void> left = new CompletableFuture<>();
      older.beginShutdown(() -> left.complete(null));
      Await.until(() -> counter(newer, "state.opened") == 1);
      left.get(10, TimeUnit.SECONDS);
      serve(newer, 12);
      Await.until(() -> counter(newer, "state.saves") > 0);
      assertEquals(0, counter(newer, "state.findings"));
    } finally {
      older.close();
      node.close();
      node = null;
      second.close();
    }
  }

  @Test
  void reloadMayChangeEverythingButTheFolder() throws Exception {
    ProcessConfig first = setup(STATE);
    setup("\nstate: {folder: kept, every_ms: 500, max_mb: 4, half_life_s: 60}\n")
        .requireAdoptableAfter(first);
    assertThrows(
        ConfigException.class,
        () -> setup("\nstate: {folder: elsewhere}\n").requireAdoptableAfter(first));
    assertThrows(ConfigException.class, () -> setup("").requireAdoptableAfter(first));
    for (String bad :
        List.of(
            "{folder: kept, every: 5}",
            "{every_ms: 5}",
            "{folder: kept, max_mb: 0}",
            "{folder: kept, every_ms: often}",
            "kept",
            "{folder: 5}")) {
      String message =
          assertThrows(ConfigException.class, () -> setup("\nstate: " + bad + "\n")).getMessage();
      assertTrue(message.contains("state"), message);
    }
    assertEquals(folder.resolve("kept"), first.broker().get().state().folder());
  }

  @Test
  void nodeWithoutStateLoadsNoClassOfTheStore() throws Exception {
    Path loaded = folder.resolve("loaded");
    ProcessBuilder command =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:file=" + loaded,
                "-cp",
                System.getProperty("java.class.path"),
                "rosecleat.cli.Main",
                "rehearse")
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD);
    command.environment().put("PROXY_CONFIG", "deploy/example.json");
    assertEquals(0, command.start().waitFor());
    List<String> classes = Files.readAllLines(loaded);
    assertTrue(classes.stream().anyMatch(l -> l.contains("rosecleat.node.Node ")));
    assertFalse(
        classes.stream()
            .anyMatch(
                l ->
                    l.matches(
                        ".*(rosecleat\\.(store|state|facts)\\.|rosecleat\\.(cli\\.state\\.|node\\.StatePersistence)|com\\.(google\\.protobuf|networknt)).*")));
  }
}
