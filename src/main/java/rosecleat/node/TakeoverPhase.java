package rosecleat.node;

/**
 * The shutdown of a process that a successor takes over from: requests that are here are served as
 * ever, and later ones arrive at the successor. The listeners are closed first, as soon as the
 * successor serves and at an instant when no connection waits at them; clients are asked to close
 * their connections after that, so that they reconnect to the successor.
 */
final class TakeoverPhase extends ShutdownPhase {
  /** A uwsgi connection that has been silent for this long is not waited for (us). */
  private static final long QUIET_PERIOD_US = 500_000;

  private boolean listenersClosed;
  private boolean hurried;

  TakeoverPhase(NodeParts parts, long killedAtUs) {
    super(parts, killedAtUs);
  }

  /**
   * Towards the end also with open listeners: while all connections are taken, they cannot be
   * closed, and a client that reconnects to this process is served and asked again.
   */
  @Override
  boolean closesConnections() {
    return listenersClosed || hurried;
  }

  /**
   * Returns whether the successor has ended or leaves while this process can still do without it.
   */
  boolean isAbandoned() {
    return !listenersClosed && !parts.takeover.successorTakesOver();
  }

  /**
   * Waits also for runs with an idempotency key that no client here waits for: a retry at the
   * successor may ask for their results.
   */
  @Override
  boolean closeCompleted(boolean hurry) {
    hurried |= hurry;
    if (!listenersClosed && (parts.takeover.successorIsServing() || hurry)) {
      listenersClosed = parts.frontends.closeListenersWhenEmpty();
    }
    if (listenersClosed) {
      parts.frontends.closeSilentConnections(QUIET_PERIOD_US);
    }
    return listenersClosed && parts.core.inFlight() == 0 && parts.frontends.openConnections() == 0;
  }
}
