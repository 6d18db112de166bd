package rosecleat.node;

import java.io.IOException;
import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.config.BrokerConfig;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.Runner;
import rosecleat.front.resp.RespFrontend;
import rosecleat.index.IndexClient;
import rosecleat.log.Log;
import rosecleat.net.ClientMemory;
import rosecleat.net.EventLoop;
import rosecleat.net.MonotonicClock;
import rosecleat.policy.PolicyEngine;
import rosecleat.registry.RegistryClient;
import rosecleat.runtime.RuntimeClient;
import rosecleat.runtime.UnavailableRunner;
import rosecleat.takeover.TakeoverCoordinator;

/**
 * The parts of one node, created and connected to each other. All of them run on one event loop;
 * none of them opens a connection or listens before {@link Node} starts it.
 */
final class NodeParts {
  /**
   * Initial limit, which {@link DescriptorAllocation} replaces before the RESP frontend listens.
   */
  private static final int INITIAL_MAX_CONNECTIONS = 1;

  final EventLoop loop;
  final TakeoverCoordinator takeover;
  final EstimatePersistence persistence;
  final FleetParticipation fleet;
  final Counters counters;
  final Log log;
  final LongSupplier clock = new MonotonicClock();
  final IndexedSettings settings;
  final IndexClient index;
  final PolicyEngine policy;
  final Core core;
  final LimitShares limitShares;
  final Optional<RuntimeClient> runtime;
  final Runner runner;
  final RegistryClient registry;
  final ClientMemory clientMemory;

  /** The most connections of the uwsgi frontend; 0 without one. */
  final int maxUwsgiConnections;

  final Frontends frontends;

  NodeParts(ProcessConfig config, NodeEnvironment environment) throws IOException {
    loop = environment.loop();
    takeover = environment.takeover();
    persistence = environment.persistence();
    fleet = environment.fleet();
    counters = environment.counters();
    log = environment.log();
    NodeConfig node = config.node();
    settings = new IndexedSettings(config);
    index = new IndexClient(loop, node.indexAddress(), clock, counters, log);
    policy = new PolicyEngine(settings.policySettings(), settings.gauges(), node.seed());
    core =
        new Core(
            settings.coreSettings(),
            policy,
            index,
            takeover.claims(),
            takeover.startedRuns(),
            clock,
            counters,
            log);
    limitShares = new LimitShares(takeover, settings, policy, clock);
    persistence.attach(settings, policy, loop, clock, counters);
    index.setCore(core);
    runtime = createRuntime(node);
    runner = runtime.isPresent() ? runtime.get() : new UnavailableRunner(loop, core);
    registry = new RegistryClient(loop, node.registryAddress(), node.name(), counters, log);
    clientMemory = new ClientMemory(Runtime.getRuntime().maxMemory(), maxClientConnections(config));
    maxUwsgiConnections = maxUwsgiConnections(config, clientMemory.maxConnections());
    frontends = createFrontends(config);
  }

  /** Logs all counters, split into lines short enough that the log does not truncate them. */
  void logCounters() {
    counters.toLines(Log.MAX_LINE_CHARS).forEach(log::info);
  }

  private Optional<RuntimeClient> createRuntime(NodeConfig node) {
    return node.runtimeAddress() == null
        ? Optional.empty()
        : Optional.of(new RuntimeClient(loop, node.runtimeAddress(), core, clock, log));
  }

  /** Returns the most connections of clients for which there are descriptors, at least 1. */
  private static int maxClientConnections(ProcessConfig config) {
    int uwsgi = config.broker().map(BrokerConfig::maxConnections).orElse(0);
    boolean hasBalancers = config.node().listenAddress() != null;
    return Math.max(1, hasBalancers ? config.node().maxSockets() : uwsgi);
  }

  /**
   * Returns how many connections of the uwsgi frontend memory allows; at most half beside
   * balancers.
   */
  private static int maxUwsgiConnections(ProcessConfig config, int maxConnections) {
    boolean hasBalancers = config.node().listenAddress() != null;
    int allowed = Math.max(1, hasBalancers ? maxConnections / 2 : maxConnections);
    return Math.min(allowed, config.broker().map(BrokerConfig::maxConnections).orElse(0));
  }

  private Frontends createFrontends(ProcessConfig config) throws IOException {
    RespFrontend resp =
        new RespFrontend(
            loop,
            config.node().listenAddress(),
            INITIAL_MAX_CONNECTIONS,
            clientMemory,
            core,
            settings.requestCatalog(runner),
            clock,
            log);
    return new Frontends(
        resp,
        config.broker().isPresent()
            ? Optional.of(UwsgiFrontendFactory.create(this, config.node().seed()))
            : Optional.empty());
  }
}
