package rosecleat.node;

/**
 * The shutdown of a node that nobody takes over. After the grace period nothing that arrives is run
 * any more: clients are asked to close their connections, and once no new ones arrive the listeners
 * are closed. Closing a listener while clients still connect would reset connections that the
 * system has accepted for this node; those get a response like all others.
 */
final class DrainPhase extends ShutdownPhase {
  /** Once no connection has arrived for this long, none is expected any more (us). */
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
