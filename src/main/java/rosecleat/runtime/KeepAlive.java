package rosecleat.runtime;

/**
 * Decides when to request gauges, and when a connection is considered dead because nothing has been
 * received on it although gauges were requested. Used on the event loop only; times are
 * microseconds of the node's clock.
 */
final class KeepAlive {
  /** Time after which an unanswered request for gauges is repeated. */
  private static final long REQUEST_TIMEOUT_US = 200_000;

  /** Time without received data after which an established connection is considered dead. */
  private static final long SILENCE_TIMEOUT_US = 3_000_000;

  /**
   * A longer gap between two polls shows that this process itself was suspended, so that data
   * received meanwhile has not been read yet.
   */
  private static final long SUSPENSION_GAP_US = 500_000;

  private long lastReceivedUs;
  private long lastPollUs;
  private long lastRequestUs;
  private boolean requestPending;

  /** Records that a new connection is in use, on which no gauges have been requested. */
  void connectionReplaced() {
    requestPending = false;
  }

  void received(long nowUs) {
    lastReceivedUs = nowUs;
  }

  void gaugesReceived() {
    requestPending = false;
  }

  /** Records one of the regular polls. */
  void poll(long nowUs) {
    if (nowUs - lastPollUs > SUSPENSION_GAP_US) {
      lastReceivedUs = nowUs;
    }
    lastPollUs = nowUs;
  }

  long silenceUs(long nowUs) {
    return nowUs - lastReceivedUs;
  }

  boolean timedOut(long nowUs) {
    return silenceUs(nowUs) > SILENCE_TIMEOUT_US;
  }

  boolean requestDue(long nowUs) {
    return !requestPending || nowUs - lastRequestUs > REQUEST_TIMEOUT_US;
  }

  void requested(long nowUs) {
    requestPending = true;
    lastRequestUs = nowUs;
  }
}
