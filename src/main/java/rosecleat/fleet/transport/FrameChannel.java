package rosecleat.fleet.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.Optional;

/**
 * Reads and writes frames on one connection: one byte for the kind of exchange, four bytes of
 * length, then the content. The buffer of a frame grows only as its bytes arrive, whatever length
 * the frame declares.
 */
final class FrameChannel {
  /** The maximum length of a frame (bytes). */
  static final int MAX_FRAME_BYTES = 64 << 20;

  private static final int INITIAL_BUFFER_BYTES = 4 << 10;
  private static final int HEADER_BYTES = 5;
  private static final int NO_FRAME = -1;

  private final SocketChannel channel;
  private final ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
  private byte[] content = new byte[0];
  private int contentBytes;
  private int frameBytes = NO_FRAME;
  private int kind;
  private ByteBuffer output;

  FrameChannel(SocketChannel channel) {
    this.channel = channel;
  }

  /** Returns the kind of exchange that the latest received frame belongs to. */
  int kind() {
    return kind;
  }

  /** Returns whether no frame is partly received or partly written. */
  boolean isIdle() {
    return frameBytes == NO_FRAME && header.position() == 0 && output == null;
  }

  /**
   * Reads available bytes; returns a frame once it is complete, otherwise empty.
   *
   * @throws IOException if the connection ended or a frame's length is out of bounds
   */
  Optional<byte[]> read(ByteBuffer scratch) throws IOException {
    if (frameBytes == NO_FRAME && !readHeader()) {
      return Optional.empty();
    }
    while (contentBytes < frameBytes) {
      scratch.clear().limit(Math.min(scratch.capacity(), frameBytes - contentBytes));
      int count = channel.read(scratch);
      if (count < 0) {
        throw new IOException("connection closed within a frame");
      }
      if (count == 0) {
        return Optional.empty();
      }
      append(scratch.flip(), count);
    }
    byte[] frame = content;
    content = new byte[0];
    frameBytes = NO_FRAME;
    return Optional.of(frame);
  }

  /** Continues to read the header; returns true once it is complete. */
  private boolean readHeader() throws IOException {
    if (channel.read(header) < 0) {
      throw new IOException("connection closed by the other side");
    }
    if (header.hasRemaining()) {
      return false;
    }
    header.flip();
    kind = header.get();
    int length = header.getInt();
    header.clear();
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw new IOException(
          "frame length of " + length + " bytes is not within 0 to " + MAX_FRAME_BYTES);
    }
    frameBytes = length;
    content = new byte[Math.min(length, INITIAL_BUFFER_BYTES)];
    contentBytes = 0;
    return true;
  }

  private void append(ByteBuffer bytes, int count) {
    int needed = contentBytes + count;
    if (needed > content.length) {
      content = Arrays.copyOf(content, Math.min(frameBytes, Math.max(needed, 2 * content.length)));
    }
    bytes.get(content, contentBytes, count);
    contentBytes = needed;
  }

  /** Sets the frame for {@link #write} to write. */
  void send(int frameKind, byte[] frame) {
    output =
        ByteBuffer.allocate(HEADER_BYTES + frame.length)
            .put((byte) frameKind)
            .putInt(frame.length)
            .put(frame)
            .flip();
  }

  /** Writes as much as the socket accepts; returns true once all is written. */
  boolean write() throws IOException {
    if (output != null) {
      channel.write(output);
      if (!output.hasRemaining()) {
        output = null;
      }
    }
    return output == null;
  }
}
