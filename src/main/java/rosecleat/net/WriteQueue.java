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
  private final Connection owner;
  private final OutputMemory memory;
  private int queuedBytes;
  private long writtenBytes;

  /** When bytes were last written, or when the queue was last empty. */
  private long lastProgressNs;

  /** Creates an empty queue whose bytes count as unread output of its owner. */
  WriteQueue(Connection owner, OutputMemory memory) {
    this.owner = owner;
    this.memory = memory;
  }

  void add(ByteBuffer bytes) {
    if (buffers.isEmpty()) {
      lastProgressNs = System.nanoTime();
    }
    queuedBytes += bytes.remaining();
    memory.added(owner, bytes.remaining());
    buffers.add(bytes);
  }

  /** Returns since when no byte has been written although some are queued. */
  long lastProgressNs() {
    return lastProgressNs;
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
    lastProgressNs = System.nanoTime();
    queuedBytes -= count;
    memory.removed(owner, count, queuedBytes == 0);
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
    memory.removed(owner, queuedBytes, true);
    queuedBytes = 0;
  }
}
