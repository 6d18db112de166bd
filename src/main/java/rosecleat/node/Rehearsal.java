package rosecleat.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rosecleat.config.NodeConfig;
import rosecleat.log.Log;
import rosecleat.net.EventLoop;

/**
 * The command {@code rehearse}: serves made-up requests on loopback, so that the virtual machine
 * loads the classes of a serving node. The build runs it to write these classes into an archive,
 * from which a node then starts with half the work.
 */
public final class Rehearsal {
  private static final int REQUESTS = 200;
  private static final long TIMEOUT_S = 20;

  /** The time that the node gets to connect to its runtime before requests arrive (us). */
  private static final long FIRST_REQUEST_DELAY_US = 200_000;

  private final Log log = new Log(System.err);
  private final EventLoop loop = new EventLoop(log);
  private final CountDownLatch responses = new CountDownLatch(REQUESTS);

  private Rehearsal() throws IOException {}

  /**
   * Serves requests under a configuration.
   *
   * @return whether all requests got a response in time
   * @throws IOException where nothing can listen on loopback
   */
  public static boolean run(NodeConfig config) throws IOException {
    JitWarmup.run(config);
    return new Rehearsal().serve(config);
  }

  private boolean serve(NodeConfig config) throws IOException {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    RehearsalRuntime runtime = new RehearsalRuntime(loop, anyPort);
    NodeConfig onLoopback =
        onLoopback(config, anyPort, new InetSocketAddress(anyPort.getAddress(), runtime.port()));
    try (Node node = new Node(ProcessConfig.of(onLoopback), NodeEnvironment.standalone(log))) {
      node.start();
      RehearsalBalancer balancer =
          new RehearsalBalancer(loop, config.settings(), REQUESTS, responses::countDown, log);
      InetSocketAddress address = new InetSocketAddress(anyPort.getAddress(), node.port());
      loop.schedule(FIRST_REQUEST_DELAY_US, () -> balancer.connect(address));
      return responses.await(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      loop.close();
      log.close();
    }
  }

  /** The same configuration between a runtime and a balancer on loopback, and nothing else. */
  private static NodeConfig onLoopback(
      NodeConfig config, InetSocketAddress listen, InetSocketAddress runtime) {
    return new NodeConfig(
        config.name(),
        listen,
        null,
        runtime,
        null,
        null,
        config.seed(),
        config.stopTimeoutUs(),
        config.maxSockets(),
        config.settings(),
        config.source());
  }
}
