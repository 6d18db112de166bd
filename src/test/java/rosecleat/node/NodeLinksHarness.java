package rosecleat.node;

import java.io.IOException;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.fakes.FakeIndex;
import rosecleat.fakes.FakeRegistry;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;

/** A node on loopback between a fake runtime, a fake index and a fake registry, with one client. */
abstract class NodeLinksHarness {
  final FakeRuntime runtime = new FakeRuntime(100);
  final FakeIndex index = new FakeIndex();
  final FakeRegistry registry = new FakeRegistry();
  final Log log = new Log(System.err);
  Node node;
  RespClient client;
  int tag;

  void start() throws IOException {
    start(config());
  }

  void start(NodeConfig config) throws IOException {
    node = new Node(ProcessConfig.of(config), NodeEnvironment.standalone(log));
    node.start();
    client = new RespClient(node.port(), null);
  }

  void startServing() throws IOException {
    startServing(config());
  }

  void startServing(NodeConfig config) throws IOException {
    start(config);
    await(() -> count("") >= 0 && ready());
  }

  /** Returns the configuration of the test site with the current addresses of the fakes. */
  NodeConfig config() {
    return TestSite.config(runtime.port(), index.port(), registry.port(), 2_000, 500);
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    node.close();
    runtime.close();
    index.close();
    registry.close();
    log.close();
  }

  <T> T ask(Function<Core, T> question) {
    return NodeProbe.ask(node, question);
  }

  boolean ready() {
    return ask(Core::ready);
  }

  long count(String name) {
    return NodeProbe.counter(node, name);
  }

  static void await(BooleanSupplier condition) {
    NodeProbe.await(condition);
  }

  String send(String className, String once) throws IOException {
    String id = String.format("%016x", ++tag);
    client.send(
        RespClient.array(
            "DO", tag, className, RespClient.fields(id, "small", 1_100, once), "body " + tag));
    return id;
  }

  List<String> answer(String className) throws IOException {
    send(className, null);
    return client.answer();
  }

  void reload() {
    node.reload(ProcessConfig.of(config()));
  }
}
