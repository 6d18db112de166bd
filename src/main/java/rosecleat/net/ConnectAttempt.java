package rosecleat.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.concurrent.Future;
import rosecleat.core.Failure;
import rosecleat.core.FailureReason;
import rosecleat.core.Progress;

/**
 * One attempt to connect, from its start until its outcome is reported. The connect operation and
 * its timeout may both complete. The event that the loop runs first determines the outcome, so that
 * no handler receives a connection that the timeout has already closed.
 */
final class ConnectAttempt {
  private final EventLoop loop;
  private final AsynchronousSocketChannel channel;
  private final ConnectionLimits limits;
  private final ConnectHandler handler;
  private Future<?> timeout;
  private boolean completed;

  private ConnectAttempt(
      EventLoop loop,
      AsynchronousSocketChannel channel,
      ConnectionLimits limits,
      ConnectHandler handler) {
    this.loop = loop;
    this.channel = channel;
    this.limits = limits;
    this.handler = handler;
  }

  /**
   * Opens a socket and starts to connect it. The outcome is always reported in a later task on the
   * loop.
   */
  static void begin(
      EventLoop loop,
      InetSocketAddress address,
      long timeoutUs,
      ConnectionLimits limits,
      ConnectHandler handler) {
    AsynchronousSocketChannel channel;
    try {
      channel = AsynchronousSocketChannel.open(loop.group());
    } catch (IOException | RuntimeException e) { // out of file descriptors, or the group is closing
      loop.execute(
          () ->
              handler.failed(
                  new Failure(Progress.NOT_SENT, FailureReason.NO_SOCKET, e.getMessage())));
      return;
    }
    new ConnectAttempt(loop, channel, limits, handler).connect(address, timeoutUs);
  }

  private void connect(InetSocketAddress address, long timeoutUs) {
    timeout = loop.schedule(timeoutUs, () -> fail("no answer in time"));
    try {
      channel.connect(
          address,
          null,
          new LoopCompletionHandler<Void>(
              loop, connected -> succeed(), cause -> fail(cause.getMessage())));
    } catch (RuntimeException e) { // for example an unresolved address
      loop.execute(() -> fail(e.toString()));
    }
  }

  private void succeed() {
    if (complete()) {
      handler.connected(new Connection(loop, channel, limits));
    }
  }

  private void fail(String detail) {
    if (complete()) {
      Connection.closeQuietly(channel);
      handler.failed(new Failure(Progress.NOT_SENT, FailureReason.CONNECT_FAILED, detail));
    }
  }

  /** Marks the attempt as completed; returns false if it had already been completed. */
  private boolean complete() {
    if (completed) {
      return false;
    }
    completed = true;
    timeout.cancel(false);
    return true;
  }
}
