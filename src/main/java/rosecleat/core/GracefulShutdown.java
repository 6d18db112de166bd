package rosecleat.core;

/**
 * Tracks whether the node is shutting down and until when newly arriving requests are still run.
 * For the core's thread.
 */
final class GracefulShutdown {
  private boolean begun;
  private long gracePeriodEndUs = Long.MAX_VALUE;

  /** Begins the shutdown. The grace period starts when the node was notified. */
  void begin(long notifiedUs, long gracePeriodUs) {
    begun = true;
    gracePeriodEndUs = notifiedUs + gracePeriodUs;
  }

  /** Returns whether the shutdown has begun. */
  boolean begun() {
    return begun;
  }

  /** Returns whether the grace period ended before a time, in Unix microseconds. */
  boolean gracePeriodEndedBefore(long timeUs) {
    return timeUs > gracePeriodEndUs;
  }
}
