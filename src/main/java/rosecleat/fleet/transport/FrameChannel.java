package rosecleat.fleet.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;

/**
 * FrameChannel on one connection: a byte that says what the exchange is about, four of length, the
 * bytes. What is declared long takes memory only as it comes.
 */
final class FrameChannel {
  /** The longest frame (bytes). */
  static final int LONGEST = 64 << 20;

  private static final int FIRST = 4 << 10;
  private static final int HEAD = 5;

  private final SocketChannel channel;
  private final ByteBuffer head = ByteBuffer.allocate(HEAD);
  private byte[] body = new byte[0];
  private int filled;
  private int length = -1;
  private int kind;
  private ByteBuffer out;

  FrameChannel(SocketChannel channel) {
    this.channel = channel;
  }

  /** What the frame that came last is about. */
  int kind() {
    return kind;
  }

  /** Whether nothing of a further frame has come, and nothing waits to be written. */
  boolean between() {
    return length < 0 && head.position() == 0 && out == null;
  }

  /**
   * Reads on; a whole frame, or null where more must come. Throws where the connection ended or
   * lies.
   */
  byte[] read(ByteBuffer scratch) throws IOException {
    while (true) {
      if (length < 0) {
        if (channel.read(head) < 0) {
          throw new IOException("ended");
        }
        if (head.hasRemaining()) {
          return null;
        }
        head.flip();
        kind = head.get();
        length = head.getInt();
        head.clear();
        if (length < 0 || length > LONGEST) {
          throw new IOException("a frame of " + length + " bytes");
        }
        body = new byte[Math.min(length, FIRST)];
        filled = 0;
      }
      if (filled == length) {
        byte[] whole = body;
        body = new byte[0];
        length = -1;
        return whole;
      }
      scratch.clear().limit(Math.min(scratch.capacity(), length - filled));
      int count = channel.read(scratch);
      if (count < 0) {
        throw new IOException("ended in a frame");
      }
      if (count == 0) {
        return null;
      }
      if (filled + count > body.length) {
        body = Arrays.copyOf(body, Math.min(length, Math.max(filled + count, 2 * body.length)));
      }
      scratch.flip().get(body, filled, count);
      filled += count;
    }
  }

  void send(int about, byte[] frame) {
    out =
        ByteBuffer.allocate(HEAD + frame.length)
            .put((byte) about)
            .putInt(frame.length)
            .put(frame)
            .flip();
  }

  /** Writes on; true once nothing waits. */
  boolean write() throws IOException {
    if (out != null) {
      channel.write(out);
      if (!out.hasRemaining()) {
        out = null;
      }
    }
    return out == null;
  }
}
