package rosecleat.policy;

/** Whether the server takes requests: it does not while it drains or its work stands still. */
final class ServerAvailability {
  private static final long NOT_DRAINING = -1;

  private final PolicyContext context;
  private long drainStartedUs = NOT_DRAINING;
  private long stopUs = Long.MAX_VALUE;
  private boolean stalled;

  ServerAvailability(PolicyContext context) {
    this.context = context;
  }

  /** The server drains from now on and is stopped after {@code remainingUs}. */
  void startDraining(long remainingUs) {
    drainStartedUs = context.nowUs();
    stopUs = drainStartedUs + remainingUs;
  }

  /** When the server is stopped (us), far in the future while it does not drain. */
  long stopUs() {
    return stopUs;
  }

  /** Whether a request arrived after the grace that callers have for going elsewhere. */
  boolean isPastGrace(TrackedRequest tracked) {
    return drainStartedUs >= 0 && tracked.arrivedUs > drainStartedUs + context.settings().graceUs();
  }

  /** Whether the work on the cores stands still. */
  boolean isStalled() {
    return stalled;
  }

  void setStalled(boolean isStalled) {
    stalled = isStalled;
  }

  /** Whether the server drains or stands still. */
  boolean isClosed() {
    return stalled || drainStartedUs >= 0;
  }
}
