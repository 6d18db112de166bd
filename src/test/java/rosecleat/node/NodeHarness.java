package rosecleat.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Function;
import rosecleat.config.BrokerConfig;
import rosecleat.config.BrokerConfigReader;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.fakes.Await;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.FakeUwsgiService;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;

/**
 * A complete node on loopback between a fake runtime and a fake uwsgi backend, with both frontends.
 */
final class NodeHarness implements AutoCloseable {
  private static final String CARDS =
      """
      openapi: 3.0.3
      info: {title: cards, version: "1"}
      paths:
        /cards/{card}/balance:
          parameters: [{name: card, in: path, required: true, schema: {type: string}}]
          get: {operationId: getBalance, responses: {"200": {description: ok, content: {text/plain: {}}}}}
        /files/{name}:
          parameters: [{name: name, in: path, required: true, schema: {type: string}}]
          get: {operationId: getFile, responses: {"200": {description: ok}}}
          put: {operationId: putFile, responses: {"200": {description: ok}}}
      """;
  private static final String LOADS =
      """
      asyncapi: 3.0.0
      info: {title: loads, version: "1"}
      channels: {loads: {address: cards/loads}}
      operations: {receiveLoad: {action: receive, channel: {$ref: '#/channels/loads'}}}
      """;
  private static final String BROKER =
      """
      uwsgi:
        listen: 127.0.0.1:%d
        limits: {packet_bytes: 4096, body_bytes: 1024, reply_bytes: 8000000, replies_bytes: 12000000, read_ms: 700,
          stall_ms: 1000, reply_ms: 2000}
      descriptions: [{openapi: cards.yaml}, {asyncapi: loads.yaml}]
      services:
        cards:
          backend: runtime
          contract: {getBalance: {class: balance-check}}
          budget: {till: {tenant: small}, web: {tenant: big, quota_per_s: 50}}
        loads:
          backend: runtime
          contract: {receiveLoad: {class: card-load, effect: token}}
          budget: {till: {tenant: small}}
        files:
          backend: uwsgi://127.0.0.1:%d
          contract:
            getFile: {class: file-read, aim_ms: 1000, deadline_ms: 1500, effect: pure}
            putFile: {class: file-write, aim_ms: 1000, deadline_ms: 1500, effect: token, window_ms: 4000}
          budget: {till: {tenant: small}}
      """;

  final FakeUwsgiService backend = new FakeUwsgiService();
  final FakeRuntime runtime;
  final Node node;
  final Log log = new Log(System.err);
  final int uwsgiPort;

  NodeHarness(int workMs, int stopMs, int graceMs, Path folder) throws IOException {
    this(workMs, stopMs, graceMs, folder, true);
  }

  /** Starts a node that has a runtime or, if {@code hasRuntime} is false, only its backends. */
  NodeHarness(int workMs, int stopMs, int graceMs, Path folder, boolean hasRuntime)
      throws IOException {
    runtime = new FakeRuntime(workMs);
    NodeConfig config = TestSite.config(hasRuntime ? runtime.port() : 0, 0, 0, stopMs, graceMs);
    node =
        new Node(
            new ProcessConfig(config, Optional.of(broker(folder, backend.port(), config, ""))),
            NodeEnvironment.standalone(log));
    node.start();
    uwsgiPort = node.uwsgiPort();
    await(core -> core.ready());
  }

  /**
   * Writes a broker's file with additional sections at its end into a folder, and reads it with a
   * node's settings.
   */
  static BrokerConfig broker(Path folder, int backend, NodeConfig config, String more)
      throws IOException {
    Files.writeString(folder.resolve("cards.yaml"), CARDS);
    Files.writeString(folder.resolve("loads.yaml"), LOADS);
    Files.writeString(folder.resolve("broker.yaml"), BROKER.formatted(0, backend) + more);
    return BrokerConfigReader.read(folder.resolve("broker.yaml"), config.settings());
  }

  /** Evaluates a function of the core on the event loop. */
  <T> T ask(Function<Core, T> question) {
    return NodeProbe.ask(node, question);
  }

  /** Waits until a condition on the core is true. */
  void await(Function<Core, Boolean> condition) {
    Await.until(() -> ask(condition), () -> ask(core -> core.counters().toString()));
  }

  @Override
  public void close() {
    node.close();
    runtime.close();
    backend.close();
    log.close();
  }
}
