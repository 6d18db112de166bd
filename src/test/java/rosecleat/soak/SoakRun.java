package rosecleat.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import rosecleat.fakes.Await;
import rosecleat.fakes.FakeIndex;
import rosecleat.fakes.FakeRegistry;
import rosecleat.fakes.FakeRuntime;
import rosecleat.fakes.RespClient;
import rosecleat.harness.ServeProcess;

/** One run: a node, its peers and its clients, from the start of the process to its end. */
final class SoakRun {
  private static final int BURST_REQUESTS = 60;
  private static final int SPOILT_CALLS = 4;
  private static final int LOST_COMMANDS = 3;

  private final SoakPlan plan;
  private final Path folder;
  private final int port;
  private final FakeRuntime runtime = new FakeRuntime(1);
  private final FakeIndex index = new FakeIndex();
  private final FakeRegistry registry = new FakeRegistry();
  private final PauseMeter pauses = new PauseMeter();
  private final List<SoakClient> clients = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final List<Socket> crowd = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private final long startedNs = System.nanoTime();
  private ServeProcess node;
  private boolean registryDown;
  private long terminatedNs;

  private SoakRun(SoakPlan plan, Path folder) throws IOException {
    this.plan = plan;
    this.folder = folder;
    port = ServeProcess.freePort();
  }

  /** Plays the run that a seed draws; files go to a folder of its own. */
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
    for (RequestClassPlan each : plan.classes()) {
      runtime.takes.put(each.name(), new int[] {each.workMs(), 0});
    }
    if (plan.registryDownAtStart()) {
      setRegistryDown(true);
    }
    node = ServeProcess.start(folder, "log", config(), plan.descriptors());
    Await.until(
        () -> node.log().contains("listens on") && node.log().contains("the runtime is up"));
    note("the node serves");
    connectCrowd();
    startClients();
    for (Step step : plan.steps()) {
      TimeUnit.MILLISECONDS.sleep(step.afterMs());
      note(step.action().toString());
      take(step.action());
    }
    boolean killed = awaitExit();
    stopClients();
    return record(killed);
  }

  private String config() {
    return SoakConfig.text(plan, port, runtime.port(), index.port(), registry.port());
  }

  /** Idle clients; some have asked for health once. A full backlog takes no more of them. */
  private void connectCrowd() throws IOException {
    for (int i = 0; i < plan.crowd(); i++) {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
      crowd.add(socket);
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

  private void take(Step.Action action) throws Exception {
    switch (action) {
      case RELOAD -> reload();
      case MOVE_RUNTIME -> {
        runtime.moveAway();
        reload();
      }
      case MOVE_INDEX_AND_REGISTRY -> {
        setRegistryDown(false);
        index.moveAway();
        registry.moveAway();
        reload();
      }
      case TERMINATE -> terminate();
      case CUT_RUNTIME -> runtime.cut();
      case CUT_RUNTIME_LOSING_COMMANDS -> {
        runtime.swallow = LOST_COMMANDS;
        TimeUnit.MILLISECONDS.sleep(20);
        runtime.cut();
        runtime.swallow = 0;
      }
      case CUT_RUNTIME_ENDING_RUNS -> {
        runtime.endRunsBehindGauges = "resumed";
        runtime.gaugesUnansweredBeforeSync = true;
        TimeUnit.MILLISECONDS.sleep(20);
        runtime.cut();
      }
      case SILENCE_GAUGES -> runtime.gaugesUnansweredBeforeSync = true;
      case SPOIL_CALLS -> {
        for (int i = 0; i < SPOILT_CALLS; i++) {
          index.answers.add(List.of("cut", "", "SHED", "BROKEN").get(i % 4));
        }
      }
      case REGISTRY_DOWN -> setRegistryDown(true);
      case REGISTRY_UP -> setRegistryDown(false);
      case BURST -> clients.forEach(client -> client.burst(BURST_REQUESTS));
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
    Files.writeString(folder.resolve("config.json"), config());
    node.signal("HUP");
  }

  private void terminate() throws Exception {
    if (terminatedNs == 0) {
      terminatedNs = System.nanoTime();
    }
    node.signal("TERM");
  }

  /** Kills the process at the earliest time that the platform may; returns whether it had to. */
  private boolean awaitExit() throws InterruptedException {
    long killNs = terminatedNs + TimeUnit.MILLISECONDS.toNanos(plan.stopMs());
    boolean ended = node.awaitExit(Math.max(1, killNs - System.nanoTime()));
    note(ended ? "the process has ended" : "SIGKILL");
    if (!ended) {
      node.kill();
      node.awaitExit(TimeUnit.SECONDS.toNanos(10));
    }
    return !ended;
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
        connection.join(); // the process is gone: each connection has ended
      }
    }
  }

  private SoakRecord record(boolean killed) {
    List<SentRequest> requests = new ArrayList<>();
    clients.forEach(client -> requests.addAll(client.requests));
    List<String> starts;
    synchronized (runtime) {
      starts = List.copyOf(runtime.starts);
    }
    return new SoakRecord(
        plan, requests, starts, terminatedNs, killed, node.exitCode(), node.log(), events, pauses);
  }

  private void note(String event) {
    events.add((System.nanoTime() - startedNs) / 1_000_000 + " ms: " + event);
  }

  private void close() throws Exception {
    if (node != null) {
      node.close();
    }
    for (Socket socket : crowd) {
      socket.close();
    }
    pauses.close();
    runtime.close();
    index.close();
    registry.close();
  }
}
