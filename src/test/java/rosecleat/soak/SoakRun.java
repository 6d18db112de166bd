package rosecleat.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import rosecleat.fakes.FakeIndex;
import rosecleat.fakes.FakeRegistry;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.harness.ServeProcess;

/** One run of a node with its peers and clients, from the start of the process to its exit. */
final class SoakRun {
  private static final int BURST_REQUESTS = 60;
  private static final int FAILED_CALLS = 4;
  private static final int LOST_COMMANDS = 3;
  private static final int DELAY_BEFORE_DISCONNECT_MS = 20;

  private final SoakPlan plan;
  private final Path folder;
  private final int port;
  private final FakeIndex index = new FakeIndex();
  private final FakeRegistry registry = new FakeRegistry();
  private final PauseMeter pauses = new PauseMeter();
  private final List<SoakClient> clients = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final List<Socket> idleClients = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private final long startedNs = System.nanoTime();
  private final List<SoakNode> nodes = new ArrayList<>();
  private boolean registryDown;
  private long terminatedNs;

  private SoakRun(SoakPlan plan, Path folder) throws IOException {
    this.plan = plan;
    this.folder = folder;
    port = ServeProcess.freePort();
  }

  /** Executes the run of a seed; its files go to {@code folder}. */
  static SoakRecord play(long seed, Path folder) throws Exception {
    SoakRun run = new SoakRun(SoakPlan.draw(seed), folder);
    try {
      return run.play();
    } finally {
      run.close();
    }
  }

  private SoakRecord play() throws Exception {
    note(plan.toString());
    if (plan.registryDownAtStart()) {
      setRegistryDown(true);
    }
    startNode("node");
    if (!plan.terminatedInStart()) {
      node().awaitServing();
      note("the node serves");
      connectIdleClients();
    }
    startClients();
    for (Step step : plan.steps()) {
      TimeUnit.MILLISECONDS.sleep(step.afterMs());
      note(step.action().toString());
      perform(step.action());
    }
    awaitExit();
    stopClients();
    return record();
  }

  private SoakNode node() {
    return nodes.get(0);
  }

  /** Returns the successor, or the only process if there is no takeover. */
  private SoakNode lastNode() {
    return nodes.get(nodes.size() - 1);
  }

  private void startNode(String name) throws IOException {
    SoakNode node = new SoakNode(plan);
    nodes.add(node);
    node.start(folder, name, config(node));
  }

  private String config(SoakNode node) {
    return SoakConfig.text(plan, port, node.runtime.port(), index.port(), registry.port());
  }

  /**
   * Connects idle clients, of which every second sends one health check. A full backlog accepts no
   * more of them.
   */
  private void connectIdleClients() throws IOException {
    for (int i = 0; i < plan.idleClients(); i++) {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
      idleClients.add(socket);
      if (i % 2 == 0) {
        socket.getOutputStream().write(RespClient.array("PING", 1, ""));
      }
    }
  }

  private void startClients() {
    for (int i = 0; i < plan.clients(); i++) {
      SoakClient client = new SoakClient(plan, i, port);
      clients.add(client);
      Thread thread = new Thread(client, "soak client");
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void perform(Step.Action action) throws Exception {
    FakeRuntime runtime = node().runtime;
    switch (action) {
      case RELOAD -> reload();
      case MOVE_RUNTIME -> {
        runtime.moveToAnotherPort();
        reload();
      }
      case MOVE_INDEX_AND_REGISTRY -> {
        setRegistryDown(false);
        index.moveToAnotherPort();
        registry.moveToAnotherPort();
        reload();
      }
      case TERMINATE -> terminate(node());
      case START_SUCCESSOR -> {
        startNode("successor");
        lastNode().awaitServing();
      }
      case TERMINATE_SUCCESSOR -> terminate(lastNode());
      case DISCONNECT_RUNTIME -> runtime.closeConnections();
      case DISCONNECT_RUNTIME_LOSING_COMMANDS -> disconnectLosingCommands(runtime);
      case DISCONNECT_RUNTIME_ENDING_RUNS -> disconnectEndingRuns(runtime);
      case IGNORE_GAUGE_REQUESTS -> runtime.gaugesUnansweredBeforeSync = true;
      case FAIL_CALLS -> failCalls();
      case REGISTRY_DOWN -> setRegistryDown(true);
      case REGISTRY_UP -> setRegistryDown(false);
      case BURST -> clients.forEach(client -> client.burst(BURST_REQUESTS));
      default -> throw new IllegalArgumentException(action.name());
    }
  }

  private static void disconnectLosingCommands(FakeRuntime runtime) throws InterruptedException {
    runtime.commandsToLose = LOST_COMMANDS;
    TimeUnit.MILLISECONDS.sleep(DELAY_BEFORE_DISCONNECT_MS);
    runtime.closeConnections();
    runtime.commandsToLose = 0;
  }

  private static void disconnectEndingRuns(FakeRuntime runtime) throws InterruptedException {
    runtime.endRunsBehindGauges = "resumed";
    runtime.gaugesUnansweredBeforeSync = true;
    TimeUnit.MILLISECONDS.sleep(DELAY_BEFORE_DISCONNECT_MS);
    runtime.closeConnections();
  }

  private void failCalls() {
    for (int i = 0; i < FAILED_CALLS; i++) {
      index.answers.add(List.of("cut", "", "SHED", "BROKEN").get(i % 4));
    }
  }

  private void setRegistryDown(boolean down) {
    if (down && !registryDown) {
      registry.down();
    } else if (!down && registryDown) {
      registry.up();
    }
    registryDown = down;
  }

  private void reload() throws Exception {
    for (SoakNode node : nodes) {
      node.reload(config(node));
    }
  }

  private void terminate(SoakNode target) {
    if (terminatedNs == 0) {
      terminatedNs = System.nanoTime();
    }
    target.terminate(target != lastNode() && !lastNode().terminated());
  }

  /** Waits for the exit of the node, then terminates its successor and waits for its exit too. */
  private void awaitExit() throws InterruptedException {
    node().awaitExit();
    note("the node has exited");
    if (lastNode() != node()) {
      if (!lastNode().terminated()) {
        terminate(lastNode());
      }
      lastNode().awaitExit();
      note("the successor has exited");
    }
  }

  private void stopClients() throws Exception {
    for (SoakClient client : clients) {
      client.stop();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    for (SoakClient client : clients) {
      for (SoakConnection connection : client.connections) {
        connection.join(); // All processes have exited, so each connection has ended.
      }
    }
  }

  private SoakRecord record() {
    List<SentRequest> requests = new ArrayList<>();
    clients.forEach(client -> requests.addAll(client.requests));
    return new SoakRecord(requests, nodes, terminatedNs, events, pauses);
  }

  private void note(String event) {
    events.add((System.nanoTime() - startedNs) / 1_000_000 + " ms: " + event);
  }

  private void close() throws Exception {
    for (SoakNode node : nodes) {
      node.close();
    }
    for (Socket socket : idleClients) {
      socket.close();
    }
    pauses.close();
    index.close();
    registry.close();
  }
}
