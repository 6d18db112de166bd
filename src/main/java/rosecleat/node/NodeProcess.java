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

/** The process round a node: keeps it alive, and takes its leave on SIGTERM. */
public final class NodeProcess {
  /** Not an exit code: the process goes on by itself. */
  public static final int GOES_ON = -1;

  /** The process ends so long before it would be killed, whatever the node is doing (us). */
  private static final long EARLY_US = 75_000;

  private final Log log;
  private final CountDownLatch left = new CountDownLatch(1);
  private Node node;
  private boolean told;

  NodeProcess(Log log) {
    this.log = log;
  }

  /** How a node is made; it may listen from then on. */
  interface Standing {
    Node stand() throws IOException;
  }

  /** Makes the node; null, and none made, where the notice to leave has come already. */
  synchronized Node stand(Standing standing) throws IOException {
    if (!told) {
      node = standing.stand();
    }
    return node;
  }

  /**
   * The notice to leave has come: the node that is to leave, waited for while it is made; null
   * where none ever will be.
   */
  synchronized Node told() {
    told = true;
    return node;
  }

  /**
   * Starts a node, which logs its counters so often (seconds, 0 for never) and reads its
   * configuration anew on SIGHUP; it goes on after this returns. {@code shared} is the folder that
   * all processes of the node see, or null.
   */
  public static int start(
      ProcessConfig setup, Supplier<ProcessConfig> reader, Path shared, int countersEvery)
      throws IOException {
    NodeConfig config = setup.node();
    Log log = new Log(System.err);
    NodeProcess serving = new NodeProcess(log);
    // before it listens: a notice to leave that found no hook would end the process under those it
    // has accepted
    Runtime.getRuntime().addShutdownHook(new Thread(serving::leave, "leave"));
    ConfigReloader reload = new ConfigReloader(setup, reader, log);
    reload.install(); // before it listens: from then on a signal may come
    EventLoop loop = new EventLoop(log);
    Counters counters = new Counters();
    TakeoverCoordinator handover =
        TakeoverCoordinator.join(Optional.ofNullable(shared), counters, log);
    FleetIntegration sharing =
        setup.broker() == null || setup.broker().fleet() == null && setup.broker().routes() == null
            ? null
            : new FleetIntegration(setup.broker(), loop, counters, log);
    NodeOperations operators = new NodeOperations(handover, sharing);
    if (config.adminAddress() != null) { // open before the warm-up: operators may ask how far it is
      new AdminServer(loop, config.adminAddress(), operators, counters, log);
      log.info("operators are heard at " + config.adminAddress());
    }
    EstimatePersistence learning =
        EstimatePersistence.of(setup.broker(), log); // read during the warm-up
    if (config.runtimeAddress() != null) {
      JitWarmup.play(config);
    }
    Node node =
        serving.stand(
            new Standing() { // no lambda: its types are loaded, also those that a platform's node
              // does without
              @Override
              public Node stand() throws IOException {
                return new Node(
                    config, setup.broker(), loop, handover, counters, learning, sharing, log);
              }
            });
    if (node == null) {
      return GOES_ON; // told to leave: the process ends now
    }
    new Thread(serving::stay, "stay").start();
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

  /**
   * Runs as the virtual machine's shutdown hook: what the node still does goes on while this waits.
   */
  private void leave() {
    Node leaving = told();
    if (leaving
        == null) { // nobody was served, and the process ends by itself, with the code it was given
      log.close();
      return;
    }
    long hasUs = leaving.leave(left::countDown);
    try {
      if (!left.await(hasUs - EARLY_US, TimeUnit.MICROSECONDS)) {
        log.warn("the time to leave ran out");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    leaving.settle(Node.SETTLE_MS);
    log.close(Node.SETTLE_MS); // it is killed shortly after
    Runtime.getRuntime().halt(0);
  }
}
