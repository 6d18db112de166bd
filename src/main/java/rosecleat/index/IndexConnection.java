package rosecleat.index;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import rosecleat.core.CallResult;
import rosecleat.core.Failure;
import rosecleat.net.Connection;
import rosecleat.net.ConnectionHandler;

/**
 * One connection to the index, with one call on it at a time: what spoils it costs no other call.
 */
final class Line implements ConnectionHandler {
  /** What becomes of a line; told on the loop. */
  interface Keeper {
    /** The call ended with its reply. The line can take another one, unless it is {@link #over}. */
    void replied(Line line, Call call, CallResult end, byte[] body);

    /**
     * The line is of no more use; its call, null where it had none, came to no reply that can be
     * read.
     */
    void lost(Line line, Call call, CallResult end, String why);
  }

  /** Calls after which a line is given up: so many ids are remembered. */
  private static final int MOST_CALLS = 200;

  /** Replies to others in front of the one that is waited for; more than that is noise. */
  private static final int MOST_STRANGE = 8;

  private final Connection connection;
  private final InetSocketAddress to;
  private final Keeper keeper;
  private final Replies replies = new Replies();
  private final Set<String> carried = new HashSet<>();
  private Call call;
  private long idleSinceUs;
  private int strange;
  private boolean over;

  Line(Connection connection, InetSocketAddress to, Keeper keeper) {
    this.connection = connection;
    this.to = to;
    this.keeper = keeper;
  }

  /** Where it leads. */
  InetSocketAddress to() {
    return to;
  }

  /**
   * Whether it can take no further call; also where its connection has ended and that is still to
   * be told.
   */
  boolean over() {
    return over || connection.isClosed() || carried.size() >= MOST_CALLS;
  }

  /**
   * Whether a call of this request was made here before. Guards against its late or second reply
   * being taken for the reply to another call of the same request.
   */
  boolean carried(String id) {
    return carried.contains(id);
  }

  /** When it became idle. */
  long idleSinceUs() {
    return idleSinceUs;
  }

  void idle(long nowUs) {
    idleSinceUs = nowUs;
  }

  /** Sends a call; false where the connection has ended and not a byte of it was sent. */
  boolean send(Call next, long nowUs) {
    long leftMs = Math.max(1, (next.untilUs - nowUs) / 1000);
    byte[] head = bytes("GET " + next.id + " " + leftMs + " " + next.body.length + "\r\n");
    if (!connection.write(
        ByteBuffer.allocate(head.length + next.body.length + 2)
            .put(head)
            .put(next.body)
            .put((byte) '\r')
            .put((byte) '\n')
            .flip())) {
      return false;
    }
    call = next;
    strange = 0;
    carried.add(next.id);
    return true;
  }

  /** Gives up its call, and the line with it: a reply that crosses finds nobody. */
  void cancel() {
    over = true;
    if (call == null) {
      connection.abort(
          "unused"); // nothing is under way that a slow close would save, and descriptors are few
      return;
    }
    connection.write(ByteBuffer.wrap(bytes("STOP " + call.id + "\r\n")));
    call = null;
    connection.closeGracefully();
  }

  @Override
  public void received(ByteBuffer bytes) {
    replies.take(bytes);
    for (Replies.Reply reply = replies.next(); reply != null && !over; reply = replies.next()) {
      if (call != null && reply.id().equals(call.id)) {
        Call done = call;
        call = null;
        keeper.replied(this, done, reply.end(), reply.body());
      } else if (++strange > MOST_STRANGE) {
        end(CallResult.FAILED, "the index sent too much that nobody asked for");
      }
    }
    if (replies.spoilt()) {
      end(
          CallResult.FAILED,
          "the index sent what is no reply"); // the call has run, but what came of it is lost
    }
  }

  @Override
  public void closed(Failure failure, boolean endOfStream) {
    end(CallResult.INTERRUPTED, failure.message());
  }

  private void end(CallResult end, String why) {
    if (over) {
      return;
    }
    over = true;
    Call lost = call;
    call = null;
    connection.abort(why);
    keeper.lost(this, lost, end, why);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
