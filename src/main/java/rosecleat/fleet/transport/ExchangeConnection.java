package rosecleat.fleet.transport;

import java.nio.channels.SocketChannel;
import java.util.Optional;
import rosecleat.fleet.ExchangeSession;

/** A connection with the state of the exchange on it. */
final class ExchangeConnection {
  /** An exchange is ended after this time without progress, or after this total time (us). */
  private static final long STALL_TIMEOUT_US = 3_000_000;

  private static final long MAX_DURATION_US = 60_000_000;

  private final SocketChannel channel;
  private final FrameChannel frames;
  private final boolean outbound;
  private final int outboundKind;
  private final long deadlineUs;
  private ExchangeSession session;
  private long lastProgressUs;

  private ExchangeConnection(
      SocketChannel channel,
      boolean outbound,
      int outboundKind,
      ExchangeSession session,
      long now) {
    this.channel = channel;
    this.outbound = outbound;
    this.outboundKind = outboundKind;
    this.session = session;
    frames = new FrameChannel(channel);
    lastProgressUs = now;
    deadlineUs = now + MAX_DURATION_US;
  }

  /** Creates a connection that this process opens for an exchange of a kind. */
  static ExchangeConnection outbound(
      SocketChannel channel, int kind, ExchangeSession session, long nowUs) {
    return new ExchangeConnection(channel, true, kind, session, nowUs);
  }

  /** Creates an accepted connection; its first frame determines the kind of exchange. */
  static ExchangeConnection inbound(SocketChannel channel, long nowUs) {
    return new ExchangeConnection(channel, false, 0, null, nowUs);
  }

  SocketChannel channel() {
    return channel;
  }

  FrameChannel frames() {
    return frames;
  }

  boolean isOutbound() {
    return outbound;
  }

  /** Returns the kind of exchange that frames to the other side carry. */
  int kind() {
    return outbound ? outboundKind : frames.kind();
  }

  /** Returns the exchange; empty until the first frame of an inbound connection has arrived. */
  Optional<ExchangeSession> session() {
    return Optional.ofNullable(session);
  }

  void setSession(ExchangeSession session) {
    this.session = session;
  }

  void progressed(long nowUs) {
    lastProgressUs = nowUs;
  }

  boolean isStalled(long nowUs) {
    return nowUs - lastProgressUs > STALL_TIMEOUT_US || nowUs > deadlineUs;
  }
}
