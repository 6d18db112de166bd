package rosecleat.node;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import rosecleat.admin.AdminServer;
import rosecleat.config.BrokerConfig;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.Runner;
import rosecleat.front.resp.RespFrontend;
import rosecleat.front.uwsgi.UwsgiFrontend;
import rosecleat.index.IndexClient;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;
import rosecleat.net.MonotonicClock;
import rosecleat.policy.Estimate;
import rosecleat.policy.PolicyEngine;
import rosecleat.policy.PolicySettings;
import rosecleat.registry.RegistryClient;
import rosecleat.runtime.RuntimeClient;
import rosecleat.runtime.UnavailableRunner;
import rosecleat.takeover.TakeoverCoordinator;

/** The parts of one node put together: the core, its fronts and its links, all on one loop. */
final class Node implements AutoCloseable {
  /** A beat so much late is worth a line in the log (us). */
  private static final long LATE_US = 200_000;

  /** The next beat after one that failed (us). */
  private static final long BEAT_US = 20_000;

  /** So often the node looks what its other processes do (us). */
  private static final long LOOK_US = 100_000;

  /**
   * A process that hands over is killed so long after the longest deadline, which counts as so much
   * at the most (us).
   */
  private static final long KILLED_US = 700_000;

  private static final long LONGEST_US = 3_000_000;

  /** A disk is awaited so long at the end (ms). */
  static final long SETTLE_MS = 50;

  private volatile NodeConfig config;
  private final Log log;
  private final EventLoop loop;
  private final LongSupplier clock = new MonotonicClock();
  private final Counters counters;
  private final IndexedSettings settings;
  private final PolicyEngine decisions;
  private final Core core;
  private final Runner runner;
  private final RuntimeClient runtime;
  private final RegistryClient roster;
  private final IndexClient index;
  private final RespFrontend resp;
  private final UwsgiFrontend uwsgi;
  private final Frontends fronts;
  private final TakeoverCoordinator handover;
  private final LimitShares shares;
  private final EstimatePersistence learning;
  private final FleetIntegration sharing;
  private boolean listening;
  private boolean shared;
  private GracefulShutdown leaving;
  private long nextLookUs;
  private long beatUs = Long.MAX_VALUE;
  private Runnable whenLeft = () -> {};

  /** A node on a loop of its own; {@code broker} is null where there is no second front. */
  Node(NodeConfig config, BrokerConfig broker, Log log) throws IOException {
    this(
        config,
        broker,
        new EventLoop(log),
        null,
        new Counters(),
        new NoEstimatePersistence(),
        null,
        log);
  }

  /**
   * A node on a loop that something else may use too; {@code others} is null where it is its only
   * process, and {@code sharing} where it shares nothing.
   */
  Node(
      NodeConfig config,
      BrokerConfig broker,
      EventLoop loop,
      TakeoverCoordinator others,
      Counters counters,
      EstimatePersistence learning,
      FleetIntegration sharing,
      Log log)
      throws IOException {
    this.config = config;
    this.sharing = sharing;
    this.learning = learning;
    this.log = log;
    this.loop = loop;
    this.counters = counters;
    try {
      handover =
          others == null ? TakeoverCoordinator.join(Optional.empty(), counters, log) : others;
      settings = new IndexedSettings(new ProcessConfig(config, broker));
      index = new IndexClient(loop, config.indexAddress(), clock, counters, log);
      decisions = new PolicyEngine(settings.policySettings(), settings.gauges(), config.seed());
      core =
          new Core(
              settings.coreSettings(), decisions, index, handover.claims(), clock, counters, log);
      shares = new LimitShares(handover, settings, decisions, clock);
      learning.attach(settings, decisions, loop, clock, counters);
      index.setCore(core);
      runtime =
          config.runtimeAddress() == null
              ? null
              : new RuntimeClient(loop, config.runtimeAddress(), core, clock, log);
      runner = runtime == null ? new UnavailableRunner(loop, core) : runtime;
      roster = new RegistryClient(loop, config.registryAddress(), config.name(), counters, log);
      resp =
          new RespFrontend(
              loop, config.listenAddress(), 1, core, settings.requestCatalog(runner), clock, log);
      uwsgi =
          broker == null
              ? null
              : UwsgiFrontFactory.of(
                  loop, settings.broker(), core, runner, sharing, clock, log, ~config.seed());
      fronts = new Frontends(resp, uwsgi);
      if (sharing != null) {
        loop.execute(() -> sharing.pools().tell(this::room));
      }
      makeRoom();
      handover.setClaimRetentionUs(core.maxTimeoutUs());
      if (!handover.predecessorIsAlive()) {
        listen();
        if (!listening) {
          throw new IOException("can't listen at " + config.listenAddress());
        }
      }
    } catch (IOException | RuntimeException e) {
      loop.close();
      throw e;
    }
  }

  /** Opens the links and begins to serve. */
  void start() {
    loop.execute(
        () -> {
          if (runtime == null) {
            core.start(false, 0);
          } else {
            runtime.connect();
          }
          roster.start();
          beat();
        });
  }

  /** Logs the counters from now on, so often. */
  void logCounters(long everyUs) {
    loop.schedule(
        everyUs,
        () -> {
          log.info(counters.toString());
          logCounters(everyUs);
        });
  }

  /** Whether requests that come now are served; for use on the node's thread. */
  boolean serving() {
    return listening && core.ready() && leaving == null;
  }

  /** The port for balancers. */
  int port() {
    return resp.port();
  }

  /** The port of the second front. */
  int uwsgiPort() {
    return uwsgi.port();
  }

  /** Runs something on the node's one thread. */
  void onLoop(Runnable task) {
    loop.execute(task);
  }

  /** The core, for use on the node's thread. */
  Core core() {
    return core;
  }

  /** The second front, for use on the node's thread. */
  UwsgiFrontend uwsgi() {
    return uwsgi;
  }

  /**
   * Told to leave: calls back on the loop when nothing is left to do, or when time is up. Where
   * another process of this node lives it takes over, else this is the notice to drain. Returns how
   * long the process has (us); for any thread.
   */
  long leave(Runnable done) {
    boolean handsOver = handover.successorIsAlive();
    long leftUs =
        handsOver ? Math.min(core.maxTimeoutUs(), LONGEST_US) + KILLED_US : config.stopTimeoutUs();
    long noticeUs = MonotonicClock.systemTimeUs();
    loop.execute(
        () -> {
          long toldUs =
              Math.min(
                  noticeUs, clock.getAsLong()); // a busy loop hears of it late, and the time runs
          whenLeft = done;
          log.info(
              "told to leave"
                  + (handsOver ? " by a newer process that takes over, " : ", ")
                  + core.inFlight()
                  + " in hand");
          if (sharing != null) {
            sharing.depart();
          }
          counters.add(handsOver ? "leaves.handover" : "leaves.drain");
          if (handsOver) {
            learning.saveAndRelease(clock.getAsLong()); // the newer process takes the folder over
          } else {
            learning.save(clock.getAsLong());
          }
          long endUs = toldUs + leftUs;
          if (handsOver) {
            leaving = new TakeoverShutdown(core, fronts, handover, clock, endUs);
          } else {
            drain(toldUs, endUs);
          }
        });
    return leftUs;
  }

  private void drain(long toldUs, long endUs) {
    roster.startDraining();
    core.drain(toldUs, endUs - clock.getAsLong() - GracefulShutdown.EARLY_US);
    leaving = new DrainShutdown(core, fronts, clock, endUs);
  }

  /**
   * New files, checked already: settings, contracts and the addresses of the links take effect
   * together.
   */
  void reload(ProcessConfig setup) {
    loop.execute(
        () -> {
          NodeConfig fresh = setup.node();
          config = fresh;
          counters.add("reloads");
          log.info(
              "reloaded: classes "
                  + fresh.settings().classNames()
                  + ", runtime "
                  + fresh.runtimeAddress()
                  + ", index "
                  + fresh.indexAddress()
                  + ", roster "
                  + fresh.registryAddress());
          List<Integer> renamed = settings.update(setup, core::classInUse, core::tenantInUse);
          shares.retune(renamed, leaving != null);
          core.reconfigure(settings.coreSettings());
          handover.setClaimRetentionUs(core.maxTimeoutUs());
          makeRoom();
          resp.reconfigure(settings.requestCatalog(runner));
          if (uwsgi != null) {
            uwsgi.reconfigure(settings.broker());
          }
          learning.reconfigure(setup.broker());
          if (sharing != null) {
            sharing.use(setup.broker().routes());
          }
          if (runtime != null) {
            runtime.setAddress(fresh.runtimeAddress());
          }
          index.setAddress(fresh.indexAddress());
          roster.setAddress(fresh.registryAddress());
        });
  }

  /**
   * Beats for as long as the loop lives: whatever one beat throws ends that beat alone, else all
   * timers would stand.
   */
  private void beat() {
    long next = clock.getAsLong() + BEAT_US;
    try {
      next = beatOnce();
    } finally {
      beatUs = next;
      loop.schedule(next - clock.getAsLong(), this::beat);
    }
  }

  /**
   * The module's clock and all that is done by time. What makes it late makes every answer late, so
   * that is told.
   */
  private long beatOnce() {
    long now = clock.getAsLong();
    long lateUs = now - beatUs;
    if (lateUs > LATE_US) {
      counters.add("beats.late");
      log.warn("the loop was " + lateUs / 1000 + " ms late, with " + core.inFlight() + " in hand");
    }
    if (now >= nextLookUs) {
      nextLookUs = now + LOOK_US;
      look(now);
    }
    long next = core.tick();
    resp.closeIdleConnections(leaving != null && leaving.sendsAway());
    if (leaving instanceof TakeoverShutdown handOver && handOver.forsaken()) {
      log.warn("the newer process is gone: this one drains");
      drain(now, leaving.endUs());
    }
    if (leaving != null && leaving.over()) {
      shares.look(true); // what it took counts on for those that stay
      learning.saveAndRelease(now);
      log.info(counters.toString());
      leaving = null; // said once; the process ends now
      whenLeft.run();
    }
    return next;
  }

  /** What the other processes of this node say and do. */
  private void look(long now) {
    handover.poll(now);
    core.setDrainedByOperator(handover.isDrained());
    if (!listening && (core.ready() || !handover.predecessorIsAlive())) {
      listen();
    }
    boolean two = handover.hasPeers();
    if (two != shared) {
      shared = two;
      counters.add(two ? "shares.two" : "shares.one");
      log.info(
          two ? "two processes of this node live, and share its limits" : "this process is alone");
      makeRoom();
    }
    shares.look(leaving != null);
    learning.poll(now);
  }

  /** What the module has learnt; for any thread. */
  CompletableFuture<List<Estimate>> lessons() {
    CompletableFuture<List<Estimate>> answer = new CompletableFuture<>();
    loop.execute(() -> answer.complete(decisions.estimates(settings.storedNames())));
    return answer;
  }

  /** Waits until what was learnt is written down, so long at the most (ms); for any thread. */
  void settle(long mostMs) {
    if (sharing != null) {
      sharing.leave(mostMs);
    }
    if (!learning.close(mostMs)) {
      log.warn("what was learnt last could not be written down in time");
    }
  }

  /** The instances have changed: the module hears how many requests they work on at once. */
  private void room() {
    settings.setInstanceCapacity(sharing.pools().places());
    shares.retune(List.of(), leaving != null);
    core.reconfigure(settings.coreSettings());
  }

  /**
   * The settings in force, with this process's part of the limits; for use on the node's thread.
   */
  PolicySettings limits() {
    return shares.limits();
  }

  /** Shares the descriptors out between balancers' connections and those to the index. */
  private void makeRoom() {
    int others =
        (config.adminAddress() == null ? 0 : AdminServer.MAX_DESCRIPTORS)
            + (uwsgi == null ? 0 : 2 * settings.broker().maxConnections());
    DescriptorBudget places =
        DescriptorBudget.of(
            config.maxSockets(), others, settings.policySettings().concurrentCalls(), shared);
    index.setMaxConnections(places.index());
    resp.setMaxConnections(places.balancers());
  }

  /** Takes clients. A process that takes over does so only when it can serve them. */
  private void listen() {
    try {
      fronts.listen();
      listening = true;
      handover.markServing();
      log.info(
          config.name()
              + " listens "
              + (config.listenAddress() == null ? "" : "on " + config.listenAddress() + " ")
              + (uwsgi == null ? "" : "for uwsgi at port " + uwsgi.port()));
    } catch (IOException e) {
      log.warn("can't listen yet: " + e.getMessage());
    }
  }

  /** Ends the node at once. */
  @Override
  public void close() {
    learning.close(SETTLE_MS);
    if (sharing != null) {
      sharing.close();
    }
    loop.close();
    handover.close();
  }
}
