package rosecleat.fleet;

import java.util.List;
import java.util.Optional;
import rosecleat.fleet.wire.Datagram;
import rosecleat.fleet.wire.MemberUpdateMessage;
import rosecleat.fleet.wire.SyncFrame;

/** Validates received messages and passes their parts to the components that handle them. */
final class MessageReceiver {
  private final ProtocolContext context;
  private final MemberUpdateHandler memberUpdates;
  private final RecordReplicator records;
  private final FailureDetector detector;
  private final AntiEntropy antiEntropy;
  private final ConvergenceDetector convergence;

  MessageReceiver(
      ProtocolContext context,
      MemberUpdateHandler memberUpdates,
      RecordReplicator records,
      FailureDetector detector,
      AntiEntropy antiEntropy,
      ConvergenceDetector convergence) {
    this.context = context;
    this.memberUpdates = memberUpdates;
    this.records = records;
    this.detector = detector;
    this.antiEntropy = antiEntropy;
    this.convergence = convergence;
  }

  /** Handles a datagram. */
  void onDatagram(byte[] bytes, long nowUs) {
    Datagram datagram = WireCodec.decodeDatagram(bytes, context.cluster()).orElse(null);
    if (datagram == null || !datagram.hasFrom()) {
      context.effects().count(MembershipCounter.MALFORMED_MESSAGE);
      return;
    }
    MemberUpdate from = acceptSender(datagram.getFrom(), datagram.getCluster()).orElse(null);
    if (from == null) {
      return;
    }
    Member sender = handleSender(from, nowUs);
    storeReportedDigest(sender, from, datagram.getViewDigest(), nowUs);
    handleMembers(datagram.getMembersList(), MemberUpdate.Source.GOSSIP, nowUs);
    datagram.getRecordsList().forEach(each -> records.receive(each, nowUs));
    handleBody(from.endpoint(), datagram, nowUs);
    if (sender != null && sender.state == MemberState.ALIVE) {
      antiEntropy.onPeerDigest(sender, datagram.getSyncDigest(), nowUs);
    }
    convergence.observe(context.members().viewDigest(), nowUs);
  }

  /**
   * Handles a frame of a synchronization (null if it could not be decoded); returns false if it is
   * invalid.
   */
  boolean onExchange(SyncFrame frame, long nowUs) {
    if (frame == null || !frame.hasFrom()) {
      context.effects().count(MembershipCounter.MALFORMED_MESSAGE);
      return false;
    }
    MemberUpdate from = acceptSender(frame.getFrom(), frame.getCluster()).orElse(null);
    if (from == null) {
      return false;
    }
    handleSender(from, nowUs);
    handleMembers(frame.getMembersList(), MemberUpdate.Source.SYNC, nowUs);
    frame.getRecordsList().forEach(each -> records.receive(each, nowUs));
    convergence.observe(context.members().viewDigest(), nowUs);
    return true;
  }

  /**
   * Returns the sender of a message; or counts the message and returns empty if it must be ignored.
   */
  private Optional<MemberUpdate> acceptSender(MemberUpdateMessage from, String cluster) {
    Optional<MemberUpdate> sender = WireCodec.decode(from);
    if (sender.isEmpty()) {
      context.effects().count(MembershipCounter.MALFORMED_MESSAGE);
      return Optional.empty();
    }
    if (!cluster.equals(context.cluster())) {
      context.effects().count(MembershipCounter.FOREIGN_CLUSTER);
      return Optional.empty();
    }
    Member self = context.self();
    if (sender.get().id().equals(self.id) && sender.get().endpoint().equals(self.endpoint)) {
      // a seed may be another address of this process itself
      context.effects().count(MembershipCounter.OWN_MESSAGE);
      return Optional.empty();
    }
    return sender;
  }

  /** Handles the sender's update of itself; returns its member, or null if it was not admitted. */
  private Member handleSender(MemberUpdate from, long nowUs) {
    memberUpdates.handle(from, MemberUpdate.Source.GOSSIP, nowUs);
    Member sender = context.members().get(from.id());
    if (sender != null && sender != context.self()) {
      sender.lastMessageUs = nowUs;
      if (sender.state.isActive()) {
        convergence.onMessageFromActiveMember(nowUs);
      }
    }
    return sender;
  }

  /**
   * Records the digest that a sender reports, and requests a refutation from a sender that reports
   * itself alive but is dead in this view.
   */
  private void storeReportedDigest(Member sender, MemberUpdate from, long digest, long nowUs) {
    if (sender == null || sender == context.self()) {
      return;
    }
    sender.reportedDigest = digest;
    sender.reportedUs = nowUs;
    if (sender.state == MemberState.DEAD && from.state() == MemberState.ALIVE) {
      memberUpdates.requestRefutation(sender, nowUs);
    }
  }

  private void handleMembers(
      List<MemberUpdateMessage> messages, MemberUpdate.Source source, long nowUs) {
    for (MemberUpdateMessage message : messages) {
      Optional<MemberUpdate> update = WireCodec.decode(message);
      if (update.isPresent()) {
        memberUpdates.handle(update.get(), source, nowUs);
      } else {
        context.effects().count(MembershipCounter.MALFORMED_MESSAGE);
      }
    }
  }

  private void handleBody(Endpoint from, Datagram datagram, long nowUs) {
    switch (datagram.getBodyCase()) {
      case PING -> detector.onPing(from, datagram.getPing());
      case ACK -> detector.onAck(datagram.getAck().getSequence(), nowUs);
      case NACK -> detector.onNack(datagram.getNack().getSequence());
      case PING_REQUEST -> detector.onPingRequest(from, datagram.getPingRequest(), nowUs);
      default -> {
        // a datagram without a body carries updates only
      }
    }
  }
}
