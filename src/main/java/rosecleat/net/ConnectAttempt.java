package rosecleat.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.concurrent.Future;
import rosecleat.core.Failure;
import rosecleat.core.FailureReason;
import rosecleat.core.Progress;

/**
 * One attempt to connect, until its outcome is reported. The connect and its timeout may both
 * complete; whichever reaches the loop first decides, so that no handler is given a connection that
 * was closed meanwhile.
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

  /** Opens a socket and begins to connect it; the outcome is always reported later, on the loop. */
  static void begin(
      EventLoop loop,
      InetSocketAddress address,
      long timeoutUs,
      ConnectionLimits limits,
      ConnectHandler handler) {
    AsynchronousSocketChannel channel;
    try {
      channel = AsynchronousSocketChannel.open(loop.group());
    } catch (IOException | RuntimeException e) { // no descriptor left, or the group is closing
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
    } catch (RuntimeException e) { // an address that can't be used
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

  /** Ends the attempt; false where it has ended before. */
  private boolean complete() {
    if (completed) {
      return false;
    }
    completed = true;
    timeout.cancel(false);
    return true;
  }
}
