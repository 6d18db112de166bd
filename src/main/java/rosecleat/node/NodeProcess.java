package rosecleat.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import rosecleat.admin.AdminServer;
import rosecleat.config.NodeConfig;
import rosecleat.core.Counters;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.takeover.TakeoverCoordinator;

/**
 * The process around a node: builds it, keeps the virtual machine alive, and shuts the node down on
 * SIGTERM. {@link ShutdownSequence} says in which order.
 */
public final class NodeProcess {
  /** The result of a start in place of an exit code: the process keeps running. */
  public static final int KEEPS_RUNNING = -1;

  /** The node is waited for until so long before the process would be killed (us). */
  private static final long SHUTDOWN_MARGIN_US = 150_000;

  /** The virtual machine is ended so long before the process would be killed (us). */
  private static final long EXIT_MARGIN_US = 50_000;

  private final Log log;
  private final CountDownLatch completed = new CountDownLatch(1);
  private Optional<Node> node = Optional.empty();
  private boolean shutdownRequested;

  NodeProcess(Log log) {
    this.log = log;
  }

  /** Builds a node, which may listen from then on. */
  interface NodeBuilder {
    /** Builds the node. */
    Node build() throws IOException;
  }

  /** Builds the node, unless SIGTERM has arrived already; empty where none is built. */
  synchronized Optional<Node> build(NodeBuilder builder) throws IOException {
    if (!shutdownRequested) {
      node = Optional.of(builder.build());
    }
    return node;
  }

  /**
   * Records that SIGTERM has arrived.
   *
   * @return the node to shut down, waited for while it is built; empty where none will ever be
   */
  synchronized Optional<Node> requestShutdown() {
    shutdownRequested = true;
    return node;
  }

  /**
   * Starts a node, which keeps running after this returns.
   *
   * @param config the configuration
   * @param reader reads the configuration again on SIGHUP
   * @param sharedFolder the folder that all processes of the node see, where there is one
   * @param counterLogPeriodS how often the counters are logged (s); 0 for never
   * @return {@link #KEEPS_RUNNING}
   * @throws IOException where the node cannot listen
   */
  public static int start(
      ProcessConfig config,
      Supplier<ProcessConfig> reader,
      Optional<Path> sharedFolder,
      int counterLogPeriodS)
      throws IOException {
    Log log = new Log(System.err);
    NodeProcess process = new NodeProcess(log);
    // Both are in place before the node listens. Without the hook, a SIGTERM would end the process
    // under the clients that it has accepted.
    Runtime.getRuntime().addShutdownHook(new Thread(process::shutDown, "shutdown"));
    ConfigReloader reloader = new ConfigReloader(config, reader, log);
    reloader.install();
    EventLoop loop = new EventLoop(log);
    Counters counters = new Counters();
    TakeoverCoordinator takeover = TakeoverCoordinator.join(sharedFolder, counters, log);
    FleetParticipation fleet = FleetParticipation.start(config.broker(), loop, counters, log);
    NodeOperations operations = new NodeOperations(takeover, fleet);
    startAdminServer(config.node(), loop, operations, counters, log);
    EstimatePersistence persistence = EstimatePersistence.of(config.broker(), log);
    NodeEnvironment environment =
        new NodeEnvironment(loop, takeover, persistence, fleet, counters, log);
    if (config.node().runtimeAddress() != null) {
      JitWarmup.run(config.node()); // meanwhile stored estimates are read
    }
    Optional<Node> node = process.build(() -> new Node(config, environment));
    if (node.isPresent()) {
      process.run(node.get(), operations, reloader, counterLogPeriodS);
    }
    return KEEPS_RUNNING;
  }

  /** Operators may ask for the state of the node while it is still being built. */
  private static void startAdminServer(
      NodeConfig config, EventLoop loop, NodeOperations operations, Counters counters, Log log)
      throws IOException {
    if (config.adminAddress() != null) {
      new AdminServer(loop, config.adminAddress(), operations, counters, log);
      log.info("operators are heard at " + config.adminAddress());
    }
  }

  private void run(
      Node built, NodeOperations operations, ConfigReloader reloader, int counterLogPeriodS) {
    new Thread(this::keepAlive, "keep alive").start();
    built.onLoop(() -> operations.attach(built));
    built.start();
    reloader.setListener(built::reload);
    if (counterLogPeriodS > 0) {
      built.logCounters(TimeUnit.SECONDS.toMicros(counterLogPeriodS));
    }
  }

  /** Keeps the process alive; all other threads are daemons. */
  private void keepAlive() {
    try {
      completed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Runs as the shutdown hook of the virtual machine: the node keeps working while this waits. */
  private void shutDown() {
    Optional<Node> built = requestShutdown();
    if (built.isEmpty()) {
      log.close(); // no client was served: the process ends with the code it was given
      return;
    }
    try {
      shutDown(built.get());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().halt(0); // the process is killed shortly after
  }

  private void shutDown(Node built) throws InterruptedException {
    long timeUs = built.beginShutdown(completed::countDown);
    long exitDueNs = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(timeUs - EXIT_MARGIN_US);
    if (!completed.await(timeUs - SHUTDOWN_MARGIN_US, TimeUnit.MICROSECONDS)) {
      log.warn("the time to leave ran out");
    }
    built.awaitStored(closeTimeoutMs(exitDueNs));
    built.closeNetwork(closeTimeoutMs(exitDueNs));
    log.close(closeTimeoutMs(exitDueNs));
  }

  /** How long one of the last steps may take: no step uses up the time of the exit itself. */
  private static long closeTimeoutMs(long exitDueNs) {
    long remainingMs = TimeUnit.NANOSECONDS.toMillis(exitDueNs - System.nanoTime());
    return Math.max(1, Math.min(Node.CLOSE_TIMEOUT_MS, remainingMs));
  }
}
