package rosecleat.node;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import rosecleat.core.Core;
import rosecleat.front.uwsgi.UwsgiFrontend;
import rosecleat.policy.Estimate;
import rosecleat.policy.PolicySettings;

/**
 * One node: the core with its frontends and its clients of the runtime, the index and the registry,
 * all on one event loop. {@link NodeParts} creates these parts, {@link ShutdownSequence} shuts them
 * down gracefully, and {@link ReloadSequence} puts a changed configuration in force.
 */
final class Node implements AutoCloseable {
  /** Maximum time that the end of a process waits for its disk (ms). */
  static final long CLOSE_TIMEOUT_MS = 50;

  private final NodeParts parts;
  private final ClientListeners listeners;
  private final ShutdownSequence shutdown;
  private final ReloadSequence reload;
  private final NodeTicker ticker;

  /** Creates a node, which listens immediately unless a predecessor is alive. */
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
      parts.takeover.setClaimRetentionUs(
          parts.core.maxTimeoutUs(), parts.core.maxIdempotencyWindowUs());
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
      throw new IOException("could not listen on " + config.node().listenAddress());
    }
  }

  /** Connects to the runtime and the registry, and starts to serve requests. */
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

  /** Logs the counters periodically from now on. */
  void logCounters(long periodUs) {
    parts.loop.schedule(
        periodUs,
        () -> {
          parts.logCounters();
          logCounters(periodUs);
        });
  }

  /** Returns whether requests that arrive now are served. For use on the event loop. */
  boolean isServing() {
    return listeners.areOpen() && parts.core.ready() && !shutdown.isUnderWay();
  }

  /** Returns the port of the RESP frontend. */
  int port() {
    return parts.frontends.resp().port();
  }

  /** Returns the port of the uwsgi frontend, which must exist. */
  int uwsgiPort() {
    return uwsgi().port();
  }

  /** Runs a task on the event loop. May be called from any thread. */
  void onLoop(Runnable task) {
    parts.loop.execute(task);
  }

  /** Returns the core, for use on the event loop. */
  Core core() {
    return parts.core;
  }

  /** Returns the uwsgi frontend, which must exist, for use on the event loop. */
  UwsgiFrontend uwsgi() {
    return parts.frontends.uwsgi().orElseThrow();
  }

  /**
   * Returns the settings in force with the limits reduced to the share of this process, for use on
   * the event loop.
   */
  PolicySettings limits() {
    return parts.limitShares.limits();
  }

  /** Returns the estimates of the policy. May be called from any thread. */
  CompletableFuture<List<Estimate>> estimates() {
    CompletableFuture<List<Estimate>> estimates = new CompletableFuture<>();
    parts.loop.execute(
        () -> estimates.complete(parts.policy.estimates(parts.settings.storedNames())));
    return estimates;
  }

  /** Puts a configuration in force that has been checked. May be called from any thread. */
  void reload(ProcessConfig config) {
    parts.loop.execute(() -> reload.apply(config));
  }

  /**
   * Begins a graceful shutdown. May be called from any thread.
   *
   * @param completed called on the event loop once no work is left or the time has expired
   * @return the time until the process is killed (us)
   */
  long beginShutdown(Runnable completed) {
    return shutdown.begin(completed);
  }

  /**
   * Leaves the fleet and waits until estimates are stored. May be called from any thread.
   *
   * @param timeoutMs the maximum time for each of the two steps (ms)
   */
  void awaitStored(long timeoutMs) {
    parts.fleet.stop(timeoutMs);
    if (!parts.persistence.close(timeoutMs)) {
      parts.log.warn("latest estimates were not stored in time");
    }
  }

  /**
   * Closes all sockets and stops the event loop. May be called from any thread but that of the
   * event loop.
   *
   * @param timeoutMs the maximum wait (ms)
   */
  void closeNetwork(long timeoutMs) throws InterruptedException {
    if (!parts.loop.close(timeoutMs)) {
      parts.log.warn("event loop thread did not end in time");
    }
  }

  /** Closes the node without a graceful shutdown. */
  @Override
  public void close() {
    parts.persistence.close(CLOSE_TIMEOUT_MS);
    parts.fleet.close();
    parts.loop.close();
    parts.takeover.close();
  }
}
