package rosecleat.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rosecleat.config.NodeConfig;
import rosecleat.core.Core;
import rosecleat.core.Counters;
import rosecleat.front.resp.RespFront;
import rosecleat.index.IndexClient;
import rosecleat.log.Log;
import rosecleat.net.Clock;
import rosecleat.net.EventLoop;
import rosecleat.policy.Decisions;
import rosecleat.policy.PolicyApi;
import rosecleat.roster.RosterClient;
import rosecleat.runtime.RuntimeLink;

/** One running card node: puts the parts together, drives the clock, and takes its leave on SIGTERM. */
final class Serving {
  /** Not an exit code: the node goes on by itself. */
  static final int GOES_ON = -1;

  private static final long RESULT_BYTES = 8 << 20;
  /** Descriptors that are not balancers' connections: links, the jar, the libraries, some room. */
  private static final int OWN_SOCKETS = 64;
  /** The node is gone so long before it would be killed (us). */
  private static final long EARLY_US = 150_000;
  /** What is owed so shortly before the end is failed (us). */
  private static final long LAST_US = 300_000;
  private static final long QUIET_US = 200_000;

  private final NodeConfig config;
  private final Log log;
  private final EventLoop loop;
  private final Clock clock = new Clock();
  private final Counters counters = new Counters();
  private final Core core;
  private final RuntimeLink runtime;
  private final RosterClient roster;
  private final RespFront resp;
  private final CountDownLatch left = new CountDownLatch(1);
  private long endUs = Long.MAX_VALUE;
  private long emptySinceUs;

  private Serving(NodeConfig config, Log log) throws IOException {
    this.config = config;
    this.log = log;
    loop = new EventLoop(log);
    PolicyApi.Settings settings = config.start().settings();
    IndexClient index = new IndexClient(loop, config.index(), clock, counters, log);
    Core.Rules rules = new Core.Rules(classes(config), settings.slackUs(), settings.graceUs(), settings.idleUs(),
        RESULT_BYTES);
    Decisions decisions = new Decisions(settings, config.start().gauges(), config.seed());
    core = new Core(rules, decisions, index, clock, counters, log);
    index.tell(core);
    runtime = new RuntimeLink(loop, config.runtime(), core, clock, log);
    roster = new RosterClient(loop, config.roster(), config.name(), counters, log);
    resp = new RespFront(loop, config.listen(), Math.max(1, config.sockets() - OWN_SOCKETS), core,
        new RespFront.Names(rules.classes(), config.start().tenants(), runtime), clock, log);
  }

  /** Starts a node; it goes on after this returns. */
  static int start(NodeConfig config) throws IOException {
    Log log = new Log(System.err);
    Serving node = new Serving(config, log);
    Thread stay = new Thread(node::stay, "stay");
    stay.start();
    Runtime.getRuntime().addShutdownHook(new Thread(node::leave, "leave"));
    node.loop.execute(() -> {
      node.runtime.connect();
      node.roster.begin();
      node.beat();
    });
    log.info(config.name() + " listens on " + config.listen());
    return GOES_ON;
  }

  private static List<Core.Klass> classes(NodeConfig config) {
    List<Core.Klass> classes = new ArrayList<>();
    List<PolicyApi.Klass> grades = config.start().settings().classes();
    for (int i = 0; i < grades.size(); i++) {
      PolicyApi.Klass grade = grades.get(i);
      classes.add(new Core.Klass(config.start().classes().get(i), grade.effect() == PolicyApi.Effect.KEYED,
          grade.windowUs(), grade.dueUs()));
    }
    return List.copyOf(classes);
  }

  /** Keeps the process alive; all other threads are daemons. */
  private void stay() {
    try {
      left.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void beat() {
    long next = core.tick();
    boolean draining = endUs != Long.MAX_VALUE;
    resp.sweep(draining && core.pastGrace());
    if (draining) {
      leaving();
    }
    loop.after(next - clock.getAsLong(), this::beat);
  }

  /** The notice to leave (SIGTERM): returns when the node may be stopped. */
  private void leave() {
    loop.execute(() -> {
      long now = clock.getAsLong();
      endUs = now + config.stopUs();
      log.info("told to leave, " + core.inHand() + " in hand");
      roster.leave();
      core.drain(config.stopUs() - EARLY_US);
    });
    try {
      if (!left.await(config.stopUs() - EARLY_US / 2, TimeUnit.MICROSECONDS)) {
        log.warn("the time to leave ran out");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    log.info(counters.toString());
    log.close();
    Runtime.getRuntime().halt(0);
  }

  private void leaving() {
    long now = clock.getAsLong();
    if (core.pastGrace()) {
      resp.stopListening();
    }
    if (now > endUs - LAST_US) {
      core.failAll("the node is stopped");
    }
    boolean empty = core.pastGrace() && core.owed() == 0 && resp.open() == 0;
    emptySinceUs = !empty ? 0 : emptySinceUs == 0 ? now : emptySinceUs;
    if (empty && now - emptySinceUs > QUIET_US || now > endUs - EARLY_US) {
      left.countDown();
    }
  }
}
