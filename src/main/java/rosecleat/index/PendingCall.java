package rosecleat.index;

import java.util.concurrent.Future;

/** A call that has no result yet. Used on the event loop only. */
final class PendingCall {
  private final String id;
  private final long untilUs;
  private final byte[] body;

  /**
   * The connection that carries the call; null while the call waits for one and has not been sent.
   */
  private IndexConnection connection;

  private Future<?> timeout;

  /**
   * Creates a call that has not been sent.
   *
   * @param id the id of the request that makes the call
   * @param untilUs the Unix time in microseconds at which the call times out
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
