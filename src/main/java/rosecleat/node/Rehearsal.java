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
 * Implements the command {@code rehearse}: serves generated requests on loopback, so that the JVM
 * loads the classes that a serving node needs. The build runs this command to write these classes
 * into a class-data archive, with which a node starts with half the work.
 */
public final class Rehearsal {
  private static final int REQUESTS = 200;
  private static final long TIMEOUT_S = 20;

  /** Time for the node to connect to its runtime before the first request arrives (us). */
  private static final long FIRST_REQUEST_DELAY_US = 200_000;

  private final Log log = new Log(System.err);
  private final EventLoop loop = new EventLoop(log);
  private final CountDownLatch responses = new CountDownLatch(REQUESTS);

  private Rehearsal() throws IOException {}

  /**
   * Serves requests under a configuration.
   *
   * @return whether all requests got a response in time
   * @throws IOException if no listener can be opened on loopback
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

  /**
   * Returns the same configuration with a runtime and a balancer on loopback as its only
   * neighbours: without admin server, index and registry.
   */
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
