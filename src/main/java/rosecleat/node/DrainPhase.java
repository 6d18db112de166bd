package rosecleat.node;

/**
 * The shutdown of a node that has no successor. After the grace period no newly arriving request is
 * run. Clients are asked to close their connections, and the listeners are closed once no new
 * connections arrive. Closing a listener while clients still connect would reset connections that
 * the operating system has already accepted for this node; requests on these connections get a
 * response like all others.
 */
final class DrainPhase extends ShutdownPhase {
  /** No further connection is expected once none has arrived for this long (us). */
  private static final long QUIET_PERIOD_US = 500_000;

  DrainPhase(NodeParts parts, long killedAtUs) {
    super(parts, killedAtUs);
  }

  @Override
  boolean closesConnections() {
    return parts.core.gracePeriodEnded();
  }

  @Override
  boolean closeCompleted(boolean hurry) {
    boolean closed =
        parts.core.gracePeriodEnded()
            && parts.frontends.closeListenersWhenQuiet(hurry ? 0 : QUIET_PERIOD_US);
    return closed && parts.core.awaitingResponse() == 0 && parts.frontends.openConnections() == 0;
  }
}
