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
 * The process that runs a node: builds it, keeps the JVM alive, and shuts the node down on SIGTERM
 * in the order that {@link ShutdownSequence} documents.
 */
public final class NodeProcess {
  /** Returned by {@link #start} in place of an exit code: the process keeps running. */
  public static final int KEEPS_RUNNING = -1;

  /**
   * The shutdown hook stops waiting for the node this long before the process would be killed (us).
   */
  private static final long SHUTDOWN_MARGIN_US = 150_000;

  /** The JVM exits this long before the process would be killed (us). */
  private static final long EXIT_MARGIN_US = 50_000;

  private final Log log;
  private final CountDownLatch completed = new CountDownLatch(1);
  private Optional<Node> node = Optional.empty();
  private boolean shutdownRequested;

  NodeProcess(Log log) {
    this.log = log;
  }

  /** Builds a node, which may listen as soon as it is built. */
  interface NodeBuilder {
    /** Builds the node. */
    Node build() throws IOException;
  }

  /** Builds the node unless SIGTERM has already arrived; returns empty if none is built. */
  synchronized Optional<Node> build(NodeBuilder builder) throws IOException {
    if (!shutdownRequested) {
      node = Optional.of(builder.build());
    }
    return node;
  }

  /**
   * Records that SIGTERM has arrived. Blocks while a node is being built.
   *
   * @return the node to shut down; empty if none will ever be built
   */
  synchronized Optional<Node> requestShutdown() {
    shutdownRequested = true;
    return node;
  }

  /**
   * Starts a node, which keeps running after this method returns.
   *
   * @param config the configuration
   * @param reader reads the configuration again on SIGHUP
   * @param sharedFolder the folder that all processes of the node share, if there is one
   * @param counterLogPeriodS the interval at which the counters are logged (s); 0 for never
   * @return {@link #KEEPS_RUNNING}
   * @throws IOException if the node cannot listen
   */
  public static int start(
      ProcessConfig config,
      Supplier<ProcessConfig> reader,
      Optional<Path> sharedFolder,
      int counterLogPeriodS)
      throws IOException {
    FatalErrorHandler.install();
    Log log = new Log(System.err);
    NodeProcess process = new NodeProcess(log);
    // The shutdown hook and the reloader are installed before the node listens. Without the hook, a
    // SIGTERM would end the process while clients that it has accepted await responses.
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
      JitWarmup.run(config.node()); // stored estimates are read in the background meanwhile
    }
    Optional<Node> node = process.build(() -> new Node(config, environment));
    if (node.isPresent()) {
      process.run(node.get(), operations, reloader, counterLogPeriodS);
    }
    return KEEPS_RUNNING;
  }

  /**
   * Starts the admin server early, since operators may query the state of a node that is still
   * being built.
   */
  private static void startAdminServer(
      NodeConfig config, EventLoop loop, NodeOperations operations, Counters counters, Log log)
      throws IOException {
    if (config.adminAddress() != null) {
      new AdminServer(loop, config.adminAddress(), operations, counters, log);
      log.info("admin server listening on " + config.adminAddress());
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

  /** Keeps the process alive, since all other threads are daemon threads. */
  private void keepAlive() {
    try {
      completed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Runs as the shutdown hook of the JVM; the node continues to work while this method waits. */
  private void shutDown() {
    Optional<Node> built = requestShutdown();
    if (built.isEmpty()) {
      log.close(); // no client was served, so the process ends with the exit code that it was given
      return;
    }
    try {
      shutDown(built.get());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().halt(0); // the platform kills the process shortly after
  }

  private void shutDown(Node built) throws InterruptedException {
    long timeUs = built.beginShutdown(completed::countDown);
    long exitDueNs = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(timeUs - EXIT_MARGIN_US);
    if (!completed.await(timeUs - SHUTDOWN_MARGIN_US, TimeUnit.MICROSECONDS)) {
      log.warn("graceful shutdown did not complete in time");
    }
    built.awaitStored(closeTimeoutMs(exitDueNs));
    built.closeNetwork(closeTimeoutMs(exitDueNs));
    log.close(closeTimeoutMs(exitDueNs));
  }

  /**
   * Returns the timeout of one of the last steps (ms), which no step may exceed so that time
   * remains for the exit itself.
   */
  private static long closeTimeoutMs(long exitDueNs) {
    long remainingMs = TimeUnit.NANOSECONDS.toMillis(exitDueNs - System.nanoTime());
    return Math.max(1, Math.min(Node.CLOSE_TIMEOUT_MS, remainingMs));
  }
}
