package rosecleat.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** The bytes of a connection that wait to be written, in order. For the loop alone. */
final class WriteQueue {
  /**
   * The most bytes handed to the system at once: it copies each piece into a buffer outside the
   * heap.
   */
  private static final int MAX_CHUNK_BYTES = 16 << 10;

  private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
  private int queuedBytes;
  private long writtenBytes;

  void add(ByteBuffer bytes) {
    queuedBytes += bytes.remaining();
    buffers.add(bytes);
  }

  boolean isEmpty() {
    return buffers.isEmpty();
  }

  int queuedBytes() {
    return queuedBytes;
  }

  /** Returns how many bytes were written since the connection began. */
  long writtenBytes() {
    return writtenBytes;
  }

  /** Returns a view of the next bytes to write; the queue must not be empty. */
  ByteBuffer nextChunk() {
    ByteBuffer first = buffers.element();
    ByteBuffer chunk = first.duplicate();
    chunk.limit(Math.min(first.limit(), first.position() + MAX_CHUNK_BYTES));
    return chunk;
  }

  /** Takes {@code count} written bytes off the first buffer. */
  void written(int count) {
    queuedBytes -= count;
    writtenBytes += count;
    ByteBuffer first = buffers.element();
    first.position(first.position() + count);
    if (!first.hasRemaining()) {
      buffers.remove();
    }
  }

  /** Drops all that was not written. */
  void clear() {
    buffers.clear();
    queuedBytes = 0;
  }
}
