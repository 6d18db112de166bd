package rosecleat.index;

import java.util.concurrent.Future;

/** One call that has no result yet. For the loop alone. */
final class PendingCall {
  private final String id;
  private final long untilUs;
  private final byte[] body;

  /** The connection that carries the call; null while it waits for one, and was not sent. */
  private IndexConnection connection;

  private Future<?> timeout;

  /**
   * Creates a call that was not sent.
   *
   * @param id the id of the request that makes it
   * @param untilUs the Unix time in microseconds at which it times out
   */
  PendingCall(String id, long untilUs, byte[] body) {
    this.id = id;
    this.untilUs = untilUs;
    this.body = body;
  }

  String id() {
    return id;
  }

  long untilUs() {
    return untilUs;
  }

  byte[] body() {
    return body;
  }

  boolean sent() {
    return connection != null;
  }

  IndexConnection connection() {
    return connection;
  }

  void sentOn(IndexConnection carrier) {
    connection = carrier;
  }

  void setTimeout(Future<?> timer) {
    timeout = timer;
  }

  void cancelTimeout() {
    if (timeout != null) {
      timeout.cancel(false);
    }
  }
}
