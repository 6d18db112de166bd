package rosecleat.net;

import java.util.concurrent.Future;

/**
 * Detects that a peer has accepted no byte for some time although some are queued. All methods must
 * be called on the event loop.
 */
final class WriteTimeout {
  private final EventLoop loop;
  private final long timeoutUs;
  private final WriteQueue queue;
  private final Runnable expired;

  /** The next check; null if nothing is queued. */
  private Future<?> check;

  /**
   * Creates a timeout that does not run.
   *
   * @param timeoutUs the time without a written byte, in microseconds
   * @param expired called once that time has passed
   */
  WriteTimeout(EventLoop loop, long timeoutUs, WriteQueue queue, Runnable expired) {
    this.loop = loop;
    this.timeoutUs = timeoutUs;
    this.queue = queue;
    this.expired = expired;
  }

  /** Starts the timeout unless it runs already. */
  void start() {
    if (check == null) {
      schedule();
    }
  }

  /** Stops the timeout. */
  void cancel() {
    if (check != null) {
      check.cancel(false);
      check = null;
    }
  }

  private void schedule() {
    long writtenBefore = queue.writtenBytes();
    check = loop.schedule(timeoutUs, () -> checkProgress(writtenBefore));
  }

  private void checkProgress(long writtenBefore) {
    check = null;
    if (queue.isEmpty()) {
      return;
    }
    if (queue.writtenBytes() == writtenBefore) {
      expired.run();
    } else {
      schedule();
    }
  }
}
