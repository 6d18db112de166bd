package rosecleat.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Holds a loop while peers act, so that a test determines the order in which the loop learns of
 * what they did.
 */
public final class LoopGate implements AutoCloseable {
  private final EventLoop loop;
  private final ServerSocket server;
  private CountDownLatch gate;

  /** Creates a gate for a loop, open at first. */
  public LoopGate(EventLoop loop) throws IOException {
    this.loop = loop;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  /** Holds the loop; returns once it is held. */
  public void hold() {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch opened = new CountDownLatch(1);
    gate = opened;
    loop.execute(
        () -> {
          held.countDown();
          await(opened);
        });
    await(held);
  }

  /** Releases the loop, which runs all tasks posted meanwhile in their order. */
  public void release() {
    gate.countDown();
  }

  /**
   * Returns once the thread of the channels has handled all that peers did before. It takes events
   * in their order, so this waits for a connect of its own, and then for another, as the first may
   * be selected together with the peers' events.
   */
  public void settle() throws Exception {
    for (int round = 0; round < 2; round++) {
      CompletableFuture<Void> connected = new CompletableFuture<>();
      try (AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(loop.group())) {
        channel.connect(
            new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
            null,
            new CompletionHandler<Void, Void>() {
              @Override
              public void completed(Void result, Void none) {
                connected.complete(null);
              }

              @Override
              public void failed(Throwable e, Void none) {
                connected.completeExceptionally(e);
              }
            });
        connected.get(10, TimeUnit.SECONDS);
        server.accept().close();
      }
    }
  }

  /** Runs a task on the loop and returns once it has run. */
  public void run(Runnable task) {
    call(
        () -> {
          task.run();
          return null;
        });
  }

  /** Runs a task on the loop and returns its result. */
  public <T> T call(Supplier<T> task) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(task.get()));
    return result.orTimeout(10, TimeUnit.SECONDS).join();
  }

  private static void await(CountDownLatch latch) {
    try {
      if (!latch.await(10, TimeUnit.SECONDS)) {
        throw new AssertionError("the loop was not held");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    if (gate != null) {
      gate.countDown();
    }
    server.close();
  }
}
