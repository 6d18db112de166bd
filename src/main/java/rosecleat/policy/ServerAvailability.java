package rosecleat.policy;

/** Tracks whether the server is open to requests: it is closed while it drains or is stalled. */
final class ServerAvailability {
  private static final long NOT_DRAINING = -1;

  private final PolicyContext context;
  private long drainStartedUs = NOT_DRAINING;
  private long stopUs = Long.MAX_VALUE;
  private boolean stalled;

  ServerAvailability(PolicyContext context) {
    this.context = context;
  }

  /** Records that the server drains from now on and is stopped after {@code remainingUs}. */
  void startDraining(long remainingUs) {
    drainStartedUs = context.nowUs();
    stopUs = drainStartedUs + remainingUs;
  }

  /**
   * Returns the time at which the server is stopped (us), {@code Long.MAX_VALUE} unless it drains.
   */
  long stopUs() {
    return stopUs;
  }

  /** Returns whether a request arrived after the grace period in which callers switch servers. */
  boolean isPastGrace(TrackedRequest tracked) {
    return drainStartedUs >= 0 && tracked.arrivedUs > drainStartedUs + context.settings().graceUs();
  }

  /** Returns whether runs are stalled: they occupy the cores, but none completes. */
  boolean isStalled() {
    return stalled;
  }

  void setStalled(boolean isStalled) {
    stalled = isStalled;
  }

  /** Returns whether the server drains or is stalled. */
  boolean isClosed() {
    return stalled || drainStartedUs >= 0;
  }
}
