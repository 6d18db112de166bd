package rosecleat.fleet;

/**
 * Runs gossip rounds: each sends refutation requests, and datagrams that carry queued updates only.
 */
final class Gossip {
  private final ProtocolContext context;
  private final Dissemination dissemination;
  private final RefutationRequests refutations;
  private final DatagramSender sender;

  Gossip(
      ProtocolContext context,
      Dissemination dissemination,
      RefutationRequests refutations,
      DatagramSender sender) {
    this.context = context;
    this.dissemination = dissemination;
    this.refutations = refutations;
    this.sender = sender;
  }

  /** Runs a gossip round; its fanout grows with the bytes of the queued updates. */
  void runRound(long nowUs) {
    refutations.sendBatch();
    long queuedBytes = dissemination.queuedBytes();
    if (queuedBytes > 0 && context.members().activePeerCount() > 0) {
      long fanout = Tuning.GOSSIP_FANOUT + queuedBytes / Tuning.MAX_DATAGRAM_BYTES;
      sendTo((int) Math.min(Tuning.MAX_GOSSIP_FANOUT, fanout));
    }
    dissemination.roundDone(queuedBytes > 0 || !refutations.isEmpty(), nowUs);
  }

  /** Sends queued updates to the given number of random members. */
  void sendTo(int members) {
    for (Member other : context.members().sample(members, null)) {
      sender.send(other.endpoint, sender.newDatagram());
    }
  }
}
