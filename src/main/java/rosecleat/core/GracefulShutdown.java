package rosecleat.core;

/**
 * Whether the node is shutting down, and until when requests that arrive are still run. For the
 * core's thread.
 */
final class GracefulShutdown {
  private boolean begun;
  private long gracePeriodEndUs = Long.MAX_VALUE;

  /** The shutdown begins; the grace period counts from when the node was notified. */
  void begin(long notifiedUs, long gracePeriodUs) {
    begun = true;
    gracePeriodEndUs = notifiedUs + gracePeriodUs;
  }

  /** Whether the shutdown has begun. */
  boolean begun() {
    return begun;
  }

  /** Whether the grace period ended before a time, in Unix microseconds. */
  boolean gracePeriodEndedBefore(long timeUs) {
    return timeUs > gracePeriodEndUs;
  }
}
