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
 * Blocks an event loop while peers act, so that a test determines the order in which the loop
 * handles the resulting events.
 */
public final class LoopGate implements AutoCloseable {
  private final EventLoop loop;
  private final ServerSocket server;
  private CountDownLatch gate;

  /** Creates an open gate for a loop. */
  public LoopGate(EventLoop loop) throws IOException {
    this.loop = loop;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  /** Blocks the loop, and returns once it is blocked. */
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

  /** Releases the loop, which then runs the tasks posted in the meantime, in order. */
  public void release() {
    gate.countDown();
  }

  /**
   * Returns once the I/O thread has handled all events that peers caused before this call. The I/O
   * thread handles events in the order in which it selects them. Therefore this method waits for a
   * connect of its own, and then for a second one, since the first may be selected together with
   * the peers' events.
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
        throw new AssertionError("event loop was not blocked or released within 10 s");
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
