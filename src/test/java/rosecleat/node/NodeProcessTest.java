package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;

/** SIGTERM while a node is being built. */
class NodeProcessTest {
  /**
   * Guards clients that a starting node has accepted: a shutdown request waits for the node that is
   * about to listen, so that this node is shut down gracefully.
   */
  @Test
  void shutdownRequestWaitsForANodeThatIsBeingBuilt() throws Exception {
    try (Log log = new Log(System.err);
        Node node =
            new Node(
                ProcessConfig.of(TestSite.config(0, 0, 0, 2_000, 500)),
                NodeEnvironment.standalone(log))) {
      NodeProcess process = new NodeProcess(log);
      CountDownLatch buildStarted = new CountDownLatch(1);
      CountDownLatch buildMayEnd = new CountDownLatch(1);
      Thread builder =
          new Thread(
              () -> {
                try {
                  process.build(
                      () -> {
                        buildStarted.countDown();
                        await(buildMayEnd);
                        return node;
                      });
                } catch (java.io.IOException e) {
                  throw new java.io.UncheckedIOException(e);
                }
              });
      builder.start();
      await(buildStarted);
      CompletableFuture<Optional<Node>> nodeToShutDown = new CompletableFuture<>();
      Thread shutdownRequest = new Thread(() -> nodeToShutDown.complete(process.requestShutdown()));
      shutdownRequest.start();
      while (shutdownRequest.getState() != Thread.State.BLOCKED) {
        assertEquals(
            false,
            nodeToShutDown.isDone(),
            "shutdown request did not wait for the node that is being built");
        Thread.yield();
      }
      buildMayEnd.countDown();
      assertSame(node, nodeToShutDown.get(5, TimeUnit.SECONDS).orElseThrow());
    }
  }

  @Test
  void shutdownRequestPreventsALaterNode() throws Exception {
    try (Log log = new Log(System.err)) {
      NodeProcess process = new NodeProcess(log);
      assertEquals(Optional.empty(), process.requestShutdown());
      assertEquals(
          Optional.empty(),
          process.build(
              () -> {
                throw new AssertionError(
                    "a node was built after the shutdown request; it would be killed while it"
                        + " serves clients");
              }));
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertEquals(true, latch.await(10, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
