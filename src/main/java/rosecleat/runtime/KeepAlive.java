package rosecleat.runtime;

/**
 * Decides when gauges are requested, and when a connection on which they were requested and nothing
 * came is taken for dead. For the loop alone; times are microseconds of the node's clock.
 */
final class KeepAlive {
  /** An unanswered request for gauges is repeated after this time. */
  private static final long REQUEST_TIMEOUT_US = 200_000;

  /** An established connection that brings nothing for this time is dead. */
  private static final long SILENCE_TIMEOUT_US = 3_000_000;

  /**
   * A longer gap between polls shows that this process itself was suspended: what came meanwhile
   * has not been read yet.
   */
  private static final long SUSPENSION_GAP_US = 500_000;

  private long lastReceivedUs;
  private long lastPollUs;
  private long lastRequestUs;
  private boolean requestPending;

  /** Records that a new connection is used, on which no gauges were requested. */
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
