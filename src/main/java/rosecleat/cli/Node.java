package rosecleat.cli;

import java.io.IOException;
import java.util.List;
import java.util.function.LongSupplier;
import rosecleat.config.BrokerConfig;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.core.Runner;
import rosecleat.front.resp.RespFront;
import rosecleat.front.uwsgi.UwsgiFront;
import rosecleat.front.uwsgi.UwsgiRunner;
import rosecleat.index.IndexClient;
import rosecleat.log.Log;
import rosecleat.mgmt.Door;
import rosecleat.net.Clock;
import rosecleat.net.EventLoop;
import rosecleat.policy.Decisions;
import rosecleat.roster.RosterClient;
import rosecleat.runtime.NoRuntime;
import rosecleat.runtime.RuntimeLink;

/** The parts of one node put together: the core, its fronts and its links, all on one loop. */
final class Node implements AutoCloseable {
  /** Descriptors that are not balancers' connections: links, the jar, the libraries, some room. */
  private static final int OWN_SOCKETS = 64;
  /** The node is gone so long before it would be killed (us). */
  private static final long EARLY_US = 150_000;
  /** What is owed so shortly before the end is failed (us). */
  private static final long LAST_US = 300_000;
  /** A beat so much late is worth a line in the log (us). */
  private static final long LATE_US = 200_000;
  /** When no connection has come for so long, none is expected any more (us). */
  private static final long CALM_US = 500_000;

  private volatile NodeConfig config;
  private final Log log;
  private final EventLoop loop;
  private final LongSupplier clock = new Clock();
  private final Counters counters;
  private final Numbering numbering;
  private final Decisions decisions;
  private final Core core;
  private final Runner runner;
  private final RuntimeLink runtime;
  private final RosterClient roster;
  private final IndexClient index;
  private final RespFront resp;
  private final UwsgiFront uwsgi;
  private long endUs = Long.MAX_VALUE;
  private long beatUs = Long.MAX_VALUE;
  private Runnable whenLeft = () -> { };

  /** A node on a loop of its own; {@code broker} is null where there is no second front. */
  Node(NodeConfig config, BrokerConfig broker, Log log) throws IOException {
    this(config, broker, new EventLoop(log), new Counters(), log);
  }

  /** A node on a loop that something else may use too. */
  Node(NodeConfig config, BrokerConfig broker, EventLoop loop, Counters counters, Log log) throws IOException {
    this.config = config;
    this.log = log;
    this.loop = loop;
    this.counters = counters;
    try {
      numbering = new Numbering(new Setup(config, broker));
      index = new IndexClient(loop, config.index(), clock, counters, log);
      decisions = new Decisions(numbering.settings(), numbering.gauges(), config.seed());
      core = new Core(numbering.rules(), decisions, index, clock, counters, log);
      index.tell(core);
      runtime = config.runtime() == null ? null : new RuntimeLink(loop, config.runtime(), core, clock, log);
      runner = runtime == null ? new NoRuntime(loop, core) : runtime;
      roster = new RosterClient(loop, config.roster(), config.name(), counters, log);
      int others = OWN_SOCKETS + (config.mgmt() == null ? 0 : Door.SOCKETS) + (broker == null ? 0 : 2 * broker.connections());
      resp = new RespFront(loop, config.listen(), Math.max(1, config.sockets() - others), core,
          numbering.names(runner), clock, log);
      uwsgi = broker == null ? null : new UwsgiFront(loop, numbering.broker(), core, runner,
          new UwsgiRunner(loop, core, clock, broker.limits().replyBytes()), clock, log, ~config.seed());
    } catch (IOException | RuntimeException e) {
      loop.close();
      throw e;
    }
  }

  /** Opens the links and begins to serve. */
  void start() {
    loop.execute(() -> {
      if (runtime == null) {
        core.begin(null, false, 0);
      } else {
        runtime.connect();
      }
      roster.begin();
      beat();
    });
    log.info(config.name() + " listens on " + config.listen());
    if (uwsgi != null) {
      log.info("uwsgi is on, at port " + uwsgi.port());
    }
  }

  /** Logs the counters from now on, so often. */
  void logCounters(long everyUs) {
    loop.after(everyUs, () -> {
      log.info(counters.toString());
      logCounters(everyUs);
    });
  }

  /** Whether requests that come now are served; for use on the node's thread. */
  boolean serving() {
    return core.ready() && !core.draining();
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
  UwsgiFront uwsgi() {
    return uwsgi;
  }

  /** The notice to leave: calls back on the loop when nothing is left to do, or when time is up. */
  void leave(Runnable done) {
    loop.execute(() -> {
      endUs = clock.getAsLong() + config.stopUs();
      whenLeft = done;
      log.info("told to leave, " + core.inHand() + " in hand");
      roster.leave();
      core.drain(config.stopUs() - EARLY_US);
    });
  }

  /** How long the process has from the notice to leave (us). */
  long stopUs() {
    return config.stopUs();
  }

  /** New files, checked already: settings, contracts and the addresses of the links take effect together. */
  void reload(Setup setup) {
    loop.execute(() -> {
      NodeConfig fresh = setup.node();
      config = fresh;
      counters.add("reloads");
      log.info("reloaded: classes " + fresh.start().classes() + ", runtime " + fresh.runtime() + ", index "
          + fresh.index() + ", roster " + fresh.roster());
      List<Integer> renamed = numbering.take(setup, core::usesClass, core::usesTenant);
      decisions.retune(clock.getAsLong(), numbering.settings(), numbering.gauges(), renamed);
      core.use(numbering.rules());
      resp.use(numbering.names(runner));
      if (uwsgi != null) {
        uwsgi.use(numbering.broker());
      }
      if (runtime != null) {
        runtime.moveTo(fresh.runtime());
      }
      index.moveTo(fresh.index());
      roster.moveTo(fresh.roster());
    });
  }

  /** The module's clock and all that is done by time. What makes it late makes every answer late, so that is told. */
  private void beat() {
    long lateUs = clock.getAsLong() - beatUs;
    if (lateUs > LATE_US) {
      counters.add("beats.late");
      log.warn("the loop was " + lateUs / 1000 + " ms late, with " + core.inHand() + " in hand");
    }
    long next = core.tick();
    boolean draining = endUs != Long.MAX_VALUE;
    resp.sweep(draining && core.pastGrace());
    if (draining) {
      leaving();
    }
    beatUs = next;
    loop.after(next - clock.getAsLong(), this::beat);
  }

  /**
   * Past the grace nothing that comes is run any more: connections are asked to close, and once no new ones
   * come none are taken. Closing the socket under callers that still connect would reset what the system has
   * accepted for this node; those are answered like all others. What is still owed just before the end is
   * answered then, so that nothing read stays unanswered.
   */
  private void leaving() {
    long now = clock.getAsLong();
    boolean shut = false;
    if (core.pastGrace()) {
      long quietUs = now > endUs - 2 * LAST_US ? 0 : CALM_US;
      shut = resp.stopListening(quietUs) & (uwsgi == null || uwsgi.stopListening(quietUs));
      if (uwsgi != null) {
        uwsgi.closeIdle(quietUs);
      }
    }
    if (now > endUs - LAST_US) {
      core.answerAll("the node is stopped");
    }
    boolean empty = shut && core.owed() == 0 && resp.open() == 0 && (uwsgi == null || uwsgi.open() == 0);
    if (empty || now > endUs - EARLY_US) {
      log.info(counters.toString());
      Runnable done = whenLeft;
      whenLeft = () -> { };
      endUs = Long.MAX_VALUE; // said once; the process ends now
      done.run();
    }
  }

  /** Ends the node at once. */
  @Override public void close() {
    loop.close();
  }
}
