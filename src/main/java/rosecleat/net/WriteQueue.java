package rosecleat.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** A FIFO queue of a connection's unwritten bytes. All methods must be called on the event loop. */
final class WriteQueue {
  /**
   * Most bytes per write operation. The JDK copies each chunk into a buffer outside the heap, so
   * this bounds the size of that buffer.
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

  /** Returns the number of bytes written since the connection was established. */
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

  /** Removes {@code count} written bytes from the first buffer. */
  void written(int count) {
    queuedBytes -= count;
    writtenBytes += count;
    ByteBuffer first = buffers.element();
    first.position(first.position() + count);
    if (!first.hasRemaining()) {
      buffers.remove();
    }
  }

  /** Discards all unwritten bytes. */
  void clear() {
    buffers.clear();
    queuedBytes = 0;
  }
}
