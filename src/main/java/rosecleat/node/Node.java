package rosecleat.node;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import rosecleat.core.Core;
import rosecleat.front.uwsgi.UwsgiFrontend;
import rosecleat.policy.Estimate;
import rosecleat.policy.PolicySettings;

/**
 * One node: the core with its fronts and its clients of runtime, index and registry, all on one
 * event loop. {@link NodeParts} creates them, {@link ShutdownSequence} ends them in order, and
 * {@link ReloadSequence} puts a changed configuration in force.
 */
final class Node implements AutoCloseable {
  /** How long the end of a process waits for its disk (ms). */
  static final long CLOSE_TIMEOUT_MS = 50;

  private final NodeParts parts;
  private final ClientListeners listeners;
  private final ShutdownSequence shutdown;
  private final ReloadSequence reload;
  private final NodeTicker ticker;

  /** Creates a node; it listens at once unless a predecessor is alive. */
  Node(ProcessConfig config, NodeEnvironment environment) throws IOException {
    try {
      parts = new NodeParts(config, environment);
      listeners = new ClientListeners(parts);
      DescriptorAllocation descriptors = new DescriptorAllocation(parts);
      shutdown = new ShutdownSequence(parts);
      reload = new ReloadSequence(parts, descriptors, shutdown);
      PeerMonitor peers = new PeerMonitor(parts, listeners, descriptors, shutdown);
      ticker = new NodeTicker(parts, peers, shutdown);
      parts.loop.execute(() -> parts.fleet.onCapacityChange(reload::applyInstanceCapacity));
      descriptors.apply();
      parts.takeover.setClaimRetentionUs(parts.core.maxTimeoutUs());
      if (!parts.takeover.predecessorIsAlive()) {
        listenOrFail(config);
      }
    } catch (IOException | RuntimeException e) {
      environment.loop().close();
      throw e;
    }
  }

  private void listenOrFail(ProcessConfig config) throws IOException {
    listeners.open();
    if (!listeners.areOpen()) {
      throw new IOException("can't listen at " + config.node().listenAddress());
    }
  }

  /** Connects to runtime and registry, and starts to serve. */
  void start() {
    parts.loop.execute(
        () -> {
          if (parts.runtime.isPresent()) {
            parts.runtime.get().connect();
          } else {
            parts.core.start(false, 0);
          }
          parts.registry.start();
          ticker.start();
        });
  }

  /** Logs the counters from now on with this period. */
  void logCounters(long periodUs) {
    parts.loop.schedule(
        periodUs,
        () -> {
          parts.logCounters();
          logCounters(periodUs);
        });
  }

  /** Returns whether requests that arrive now are served; for the event loop. */
  boolean isServing() {
    return listeners.areOpen() && parts.core.ready() && !shutdown.isUnderWay();
  }

  /** Returns the port of the RESP front. */
  int port() {
    return parts.frontends.resp().port();
  }

  /** Returns the port of the uwsgi front, which must exist. */
  int uwsgiPort() {
    return uwsgi().port();
  }

  /** Runs a task on the event loop; for any thread. */
  void onLoop(Runnable task) {
    parts.loop.execute(task);
  }

  /** Returns the core, for the event loop. */
  Core core() {
    return parts.core;
  }

  /** Returns the uwsgi front, which must exist, for the event loop. */
  UwsgiFrontend uwsgi() {
    return parts.frontends.uwsgi().orElseThrow();
  }

  /** Returns the settings in force with this process's part of the limits, for the event loop. */
  PolicySettings limits() {
    return parts.limitShares.limits();
  }

  /** Returns what the policy has learned; for any thread. */
  CompletableFuture<List<Estimate>> estimates() {
    CompletableFuture<List<Estimate>> estimates = new CompletableFuture<>();
    parts.loop.execute(
        () -> estimates.complete(parts.policy.estimates(parts.settings.storedNames())));
    return estimates;
  }

  /** Puts a configuration in force that has been checked; for any thread. */
  void reload(ProcessConfig config) {
    parts.loop.execute(() -> reload.apply(config));
  }

  /**
   * Begins a graceful shutdown; for any thread.
   *
   * @param completed called on the event loop once nothing is left to do or the time is up
   * @return how long the process has until it is killed (us)
   */
  long beginShutdown(Runnable completed) {
    return shutdown.begin(completed);
  }

  /** Leaves the fleet and waits until estimates are stored, each for this long; for any thread. */
  void awaitStored(long timeoutMs) {
    parts.fleet.stop(timeoutMs);
    if (!parts.persistence.close(timeoutMs)) {
      parts.log.warn("what was learnt last could not be written down in time");
    }
  }

  /** Closes all sockets and ends the loop, within a time; for any other thread. */
  void closeNetwork(long timeoutMs) throws InterruptedException {
    if (!parts.loop.close(timeoutMs)) {
      parts.log.warn("the thread for sockets has not ended in time");
    }
  }

  /** Ends the node at once. */
  @Override
  public void close() {
    parts.persistence.close(CLOSE_TIMEOUT_MS);
    parts.fleet.close();
    parts.loop.close();
    parts.takeover.close();
  }
}
