package rosecleat.node;

/**
 * The shutdown of a process that a successor takes over from. Requests that have arrived here are
 * served as usual, and later ones arrive at the successor. The listeners are closed first: as soon
 * as the successor serves requests and the backlog of the listener is empty. Clients are asked to
 * close their connections only after that, so that they reconnect to the successor.
 */
final class TakeoverPhase extends ShutdownPhase {
  /**
   * A uwsgi connection that has been open for this long without receiving any part of a request is
   * closed (us).
   */
  private static final long QUIET_PERIOD_US = 500_000;

  private boolean listenersClosed;
  private boolean hurried;

  TakeoverPhase(NodeParts parts, long killedAtUs) {
    super(parts, killedAtUs);
  }

  /**
   * Returns true once the listeners are closed. Near the end of the time this also returns true
   * while the listeners are open: they cannot be closed while the maximum number of connections is
   * open. A client that then reconnects to this process is served and asked to close its connection
   * again.
   */
  @Override
  boolean closesConnections() {
    return listenersClosed || hurried;
  }

  /**
   * Returns whether the successor has ended or is leaving while the listeners of this process are
   * still open, so that this process can drain instead.
   */
  boolean isAbandoned() {
    return !listenersClosed && !parts.takeover.successorTakesOver();
  }

  /**
   * Waits also for runs with an idempotency key whose response no client here awaits, since a retry
   * at the successor may request their results.
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
