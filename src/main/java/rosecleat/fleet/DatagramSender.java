package rosecleat.fleet;

import rosecleat.fleet.wire.Datagram;
import rosecleat.fleet.wire.Ping;

/**
 * Builds the datagrams of this member, piggybacks queued updates on them and emits them as effects.
 */
final class DatagramSender {
  private final ProtocolContext context;
  private final Dissemination dissemination;

  DatagramSender(ProtocolContext context, Dissemination dissemination) {
    this.context = context;
    this.dissemination = dissemination;
  }

  /**
   * Returns a datagram with the sender's identity and the digests of its view and its replicated
   * state.
   */
  Datagram.Builder newDatagram() {
    Member self = context.self();
    return Datagram.newBuilder()
        .setCluster(context.cluster())
        .setFrom(WireCodec.encode(self, self.state, 0))
        .setViewDigest(context.members().viewDigest())
        .setSyncDigest(context.syncDigest());
  }

  /** Sends a datagram with as many queued updates as fit. */
  void send(Endpoint destination, Datagram.Builder datagram) {
    dissemination.piggyback(datagram);
    byte[] payload = Checksum.attach(datagram.build().toByteArray(), context.cluster());
    context.effects().sendDatagram(destination, payload);
  }

  /**
   * Pings a member. A ping to a member that is not alive in this view includes its state (dead for
   * one that has left), so that the member can refute it.
   */
  void ping(Member target, int sequence) {
    Datagram.Builder datagram =
        newDatagram()
            .setPing(
                Ping.newBuilder().setSequence(sequence).setTarget(WireCodec.encode(target.id)));
    if (target.state != MemberState.ALIVE) {
      MemberState reported = target.state == MemberState.LEFT ? MemberState.DEAD : target.state;
      datagram.addMembers(WireCodec.encode(target, reported, context.self().hash));
    }
    send(target.endpoint, datagram);
  }
}
