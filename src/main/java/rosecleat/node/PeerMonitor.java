package rosecleat.node;

/**
 * Polls the state of the node's other processes and the operations of its operators. For use on the
 * event loop.
 */
final class PeerMonitor {
  /** Time between two polls (us). */
  private static final long POLL_PERIOD_US = 100_000;

  private final NodeParts parts;
  private final ClientListeners listeners;
  private final DescriptorAllocation descriptors;
  private final ShutdownSequence shutdown;
  private boolean hadPeers;
  private long nextPollUs;

  PeerMonitor(
      NodeParts parts,
      ClientListeners listeners,
      DescriptorAllocation descriptors,
      ShutdownSequence shutdown) {
    this.parts = parts;
    this.listeners = listeners;
    this.descriptors = descriptors;
    this.shutdown = shutdown;
  }

  /** Polls the peer processes if a poll is due. */
  void pollIfDue(long nowUs) {
    if (nowUs >= nextPollUs) {
      nextPollUs = nowUs + POLL_PERIOD_US;
      poll(nowUs);
    }
  }

  private void poll(long nowUs) {
    parts.takeover.poll(nowUs);
    parts.core.setDrainedByOperator(parts.takeover.isDrained());
    // While a predecessor is alive, this process listens only once it can serve requests.
    boolean mayListen = parts.core.ready() || !parts.takeover.predecessorIsAlive();
    if (!listeners.areOpen() && mayListen) {
      listeners.open();
    }
    boolean hasPeers = parts.takeover.hasPeers();
    if (hasPeers != hadPeers) {
      hadPeers = hasPeers;
      peersChanged(hasPeers);
    }
    parts.limitShares.refresh(shutdown.isUnderWay());
    parts.persistence.poll(nowUs);
  }

  private void peersChanged(boolean hasPeers) {
    parts.counters.add(hasPeers ? "shares.two" : "shares.one");
    parts.log.info(
        hasPeers
            ? "two processes of this node are alive and share its limits"
            : "no peer process is alive, this process has the limits of the node alone");
    descriptors.setSharedWithPeer(hasPeers);
  }
}
