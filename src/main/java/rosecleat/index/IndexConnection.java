package rosecleat.index;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import rosecleat.core.CallResult;
import rosecleat.core.Failure;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;

/**
 * One connection to the index, with one call at a time, so that a failure on it affects no other
 * call. Used on the event loop only.
 */
final class IndexConnection implements ConnectionHandler {
  /** Receives the events of a connection, on the event loop. */
  interface Listener {
    /**
     * The call ended with its reply. The connection can carry another call, unless it is {@link
     * #exhausted}.
     */
    void replied(IndexConnection connection, PendingCall call, CallResult result, byte[] body);

    /**
     * The connection has ended without a valid reply to its call.
     *
     * @param call the call that the connection carried; empty if there was none
     */
    void lost(
        IndexConnection connection, Optional<PendingCall> call, CallResult result, String reason);
  }

  /** Maximum number of calls on one connection; bounds the number of stored ids. */
  private static final int MAX_CALLS_PER_CONNECTION = 200;

  /** Maximum number of replies with other ids before the awaited reply. */
  private static final int MAX_UNEXPECTED_REPLIES = 8;

  private final Connection connection;
  private final InetSocketAddress address;
  private final Listener listener;
  private final ReplyParser replies = new ReplyParser();
  private final Set<String> carriedIds = new HashSet<>();

  /** The call whose reply is awaited; null if there is none. */
  private PendingCall call;

  private long idleSinceUs;
  private int unexpectedReplies;
  private boolean ended;

  IndexConnection(Connection connection, InetSocketAddress address, Listener listener) {
    this.connection = connection;
    this.address = address;
    this.listener = listener;
  }

  /** Returns the address to which the connection was made. */
  InetSocketAddress address() {
    return address;
  }

  /**
   * Returns whether this connection can carry no further call. This includes a connection that has
   * ended and whose listener has not been notified yet.
   */
  boolean exhausted() {
    return ended || connection.isClosed() || carriedIds.size() >= MAX_CALLS_PER_CONNECTION;
  }

  /**
   * Returns whether this connection has carried a call of this request before: a late or second
   * reply to that call could be mistaken for the reply to another call of the same request.
   */
  boolean carried(String id) {
    return carriedIds.contains(id);
  }

  long idleSinceUs() {
    return idleSinceUs;
  }

  void setIdleSince(long nowUs) {
    idleSinceUs = nowUs;
  }

  /** Sends a call; returns false, with no byte sent, if the connection has ended. */
  boolean send(PendingCall next, long nowUs) {
    if (!connection.write(encode(next, nowUs))) {
      return false;
    }
    call = next;
    unexpectedReplies = 0;
    carriedIds.add(next.id());
    return true;
  }

  private static ByteBuffer encode(PendingCall call, long nowUs) {
    long remainingMs = Math.max(1, (call.untilUs() - nowUs) / 1000);
    byte[] body = call.body();
    byte[] head = ascii("GET " + call.id() + " " + remainingMs + " " + body.length + "\r\n");
    return ByteBuffer.allocate(head.length + body.length + 2)
        .put(head)
        .put(body)
        .put((byte) '\r')
        .put((byte) '\n')
        .flip();
  }

  /** Cancels the call in progress and closes the connection; a reply in flight is discarded. */
  void cancel() {
    ended = true;
    if (call == null) {
      // nothing is in flight, and the number of descriptors is limited
      connection.abort("unused");
      return;
    }
    connection.write(ByteBuffer.wrap(ascii("STOP " + call.id() + "\r\n")));
    call = null;
    connection.closeGracefully();
  }

  @Override
  public void received(ByteBuffer bytes) {
    replies.append(bytes);
    Optional<ReplyParser.Reply> reply = replies.next();
    while (reply.isPresent() && !ended) {
      handleReply(reply.get());
      reply = replies.next();
    }
    if (replies.malformed()) {
      // the call ran, but its reply cannot be read
      end(CallResult.FAILED, "the index sent a malformed reply");
    }
  }

  private void handleReply(ReplyParser.Reply reply) {
    if (call != null && reply.id().equals(call.id())) {
      PendingCall completed = call;
      call = null;
      listener.replied(this, completed, reply.result(), reply.body());
      return;
    }
    unexpectedReplies++;
    if (unexpectedReplies > MAX_UNEXPECTED_REPLIES) {
      end(
          CallResult.FAILED,
          "the index sent more than " + MAX_UNEXPECTED_REPLIES + " unexpected replies");
    }
  }

  @Override
  public void closed(Failure failure, boolean endOfStream) {
    end(CallResult.INTERRUPTED, failure.message());
  }

  private void end(CallResult result, String reason) {
    if (ended) {
      return;
    }
    ended = true;
    Optional<PendingCall> lost = Optional.ofNullable(call);
    call = null;
    connection.abort(reason);
    listener.lost(this, lost, result, reason);
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
