package rosecleat.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import rosecleat.config.NodeConfig;
import rosecleat.core.Counters;
import rosecleat.handover.Handover;
import rosecleat.log.Log;
import rosecleat.mgmt.Door;
import rosecleat.net.EventLoop;

/** The process round a node: keeps it alive, and takes its leave on SIGTERM. */
public final class Serving {
  /** Not an exit code: the process goes on by itself. */
  public static final int GOES_ON = -1;

  /** The process ends so long before it would be killed, whatever the node is doing (us). */
  private static final long EARLY_US = 75_000;

  private final Node node;
  private final Log log;
  private final CountDownLatch left = new CountDownLatch(1);

  private Serving(Node node, Log log) {
    this.node = node;
    this.log = log;
  }

  /**
   * Starts a node, which logs its counters so often (seconds, 0 for never) and reads its configuration anew on
   * SIGHUP; it goes on after this returns. {@code shared} is the folder that all processes of the node see, or null.
   */
  public static int start(Setup setup, Supplier<Setup> reader, Path shared, int countersEvery) throws IOException {
    NodeConfig config = setup.node();
    Log log = new Log(System.err);
    Reload reload = new Reload(setup, reader, log);
    reload.install(); // before it listens: from then on a signal may come
    EventLoop loop = new EventLoop(log);
    Counters counters = new Counters();
    Handover handover = new Handover(shared, counters, log);
    Sharing sharing = setup.broker() == null || setup.broker().fleet() == null && setup.broker().routes() == null ? null
        : new Sharing(setup.broker(), loop, counters, log);
    Operators operators = new Operators(handover, sharing);
    if (config.mgmt() != null) { // open before the warm-up: operators may ask how far it is
      new Door(loop, config.mgmt(), operators, counters, log);
      log.info("operators are heard at " + config.mgmt());
    }
    Learning learning = Learning.of(setup.broker(), log); // read during the warm-up
    if (config.runtime() != null) {
      Warmup.play(config);
    }
    Node node = new Node(config, setup.broker(), loop, handover, counters, learning, sharing, log);
    Serving serving = new Serving(node, log);
    new Thread(serving::stay, "stay").start();
    Runtime.getRuntime().addShutdownHook(new Thread(serving::leave, "leave"));
    node.onLoop(() -> operators.serve(node));
    node.start();
    reload.tell(node::reload);
    if (countersEvery > 0) {
      node.logCounters(countersEvery * 1_000_000L);
    }
    return GOES_ON;
  }

  /** Keeps the process alive; all other threads are daemons. */
  private void stay() {
    try {
      left.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Runs as the virtual machine's shutdown hook: what the node still does goes on while this waits. */
  private void leave() {
    long hasUs = node.leave(left::countDown);
    try {
      if (!left.await(hasUs - EARLY_US, TimeUnit.MICROSECONDS)) {
        log.warn("the time to leave ran out");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    node.settle(Node.SETTLE_MS);
    log.close();
    Runtime.getRuntime().halt(0);
  }
}
