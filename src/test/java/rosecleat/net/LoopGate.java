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
 * Holds a loop still while peers act, so that a test says in which order the loop learns of what
 * they did.
 */
public final class LoopGate implements AutoCloseable {
  private final EventLoop loop;
  private final ServerSocket server;
  private CountDownLatch gate;

  /** A gate for a loop, open at first. */
  public LoopGate(EventLoop loop) throws IOException {
    this.loop = loop;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  /** Holds the loop; returns once it stands still. */
  public void hold() {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch mine = new CountDownLatch(1);
    gate = mine;
    loop.execute(
        () -> {
          held.countDown();
          await(mine);
        });
    await(held);
  }

  /** Lets the loop go on with all that has been posted meanwhile, in the order in which it was. */
  public void release() {
    gate.countDown();
  }

  /**
   * Returns once the thread of the channels has dealt with all that peers had done before: it takes
   * events in their order, and this waits for one of its own, and then for another, as the first
   * may come by the same look as theirs.
   */
  public void settle() throws Exception {
    for (int turn = 0; turn < 2; turn++) {
      CompletableFuture<Void> turned = new CompletableFuture<>();
      try (AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(loop.group())) {
        channel.connect(
            new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
            null,
            new CompletionHandler<Void, Void>() {
              @Override
              public void completed(Void done, Void none) {
                turned.complete(null);
              }

              @Override
              public void failed(Throwable e, Void none) {
                turned.completeExceptionally(e);
              }
            });
        turned.get(10, TimeUnit.SECONDS);
        server.accept().close();
      }
    }
  }

  /** Runs something on the loop and returns its result. */
  public <T> T on(Supplier<T> task) {
    CompletableFuture<T> done = new CompletableFuture<>();
    loop.execute(() -> done.complete(task.get()));
    return done.orTimeout(10, TimeUnit.SECONDS).join();
  }

  private static void await(CountDownLatch latch) {
    try {
      if (!latch.await(10, TimeUnit.SECONDS)) {
        throw new AssertionError("the loop did not come there");
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
