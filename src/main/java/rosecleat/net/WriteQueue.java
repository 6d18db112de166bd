package rosecleat.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** A FIFO queue of a connection's unwritten bytes. All methods must be called on the event loop. */
final class WriteQueue {
  /** Objects of one buffer beside its bytes. */
  static final int BUFFER_OBJECT_BYTES = 80;

  /**
   * Most bytes per write operation. The JDK copies each chunk into a buffer outside the heap, so
   * this bounds the size of that buffer.
   */
  private static final int MAX_CHUNK_BYTES = 16 << 10;

  private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
  private final OutputMemory memory;
  private final Runnable closer;
  private int queuedBytes;
  private long writtenBytes;

  /** When bytes were last written, or when the queue was last empty. */
  private long lastProgressNs;

  /**
   * Creates an empty queue.
   *
   * @param memory the memory that the unread output of several connections shares
   * @param closer closes the connection, because its peer does not read
   */
  WriteQueue(OutputMemory memory, Runnable closer) {
    this.memory = memory;
    this.closer = closer;
  }

  void add(ByteBuffer bytes) {
    if (buffers.isEmpty()) {
      lastProgressNs = System.nanoTime();
    }
    queuedBytes += bytes.remaining();
    buffers.add(bytes);
    memory.added(this, bytes.remaining() + BUFFER_OBJECT_BYTES);
  }

  boolean isEmpty() {
    return buffers.isEmpty();
  }

  int queuedBytes() {
    return queuedBytes;
  }

  /** Returns the heap that the queued bytes occupy. */
  int heapBytes() {
    return queuedBytes + BUFFER_OBJECT_BYTES * buffers.size();
  }

  /** Returns the heap of the queued bytes times how long none of them has been written. */
  double unreadByteTime(long nowNs) {
    return (double) heapBytes() * (nowNs - lastProgressNs);
  }

  /** Closes the connection, because its peer does not read. */
  void closeConnection() {
    closer.run();
  }

  /** Returns the number of bytes written since the connection was established. */
  long writtenBytes() {
    return writtenBytes;
  }

  /** Returns a view of the next bytes to write; the queue must not be empty. */
  ByteBuffer nextChunk() {
    if (buffers.size() > 1 && buffers.element().remaining() < MAX_CHUNK_BYTES) {
      mergeFirstBuffers();
    }
    ByteBuffer first = buffers.element();
    ByteBuffer chunk = first.duplicate();
    chunk.limit(Math.min(first.limit(), first.position() + MAX_CHUNK_BYTES));
    return chunk;
  }

  /**
   * Merges small buffers at the head of the queue, so that one write operation carries them all.
   */
  private void mergeFirstBuffers() {
    ByteBuffer merged = ByteBuffer.allocate(Math.min(MAX_CHUNK_BYTES, queuedBytes));
    int count = 0;
    while (!buffers.isEmpty() && buffers.element().remaining() <= merged.remaining()) {
      merged.put(buffers.remove());
      count++;
    }
    buffers.addFirst(merged.flip());
    memory.removed(this, (count - 1) * BUFFER_OBJECT_BYTES, false);
  }

  /** Removes {@code count} written bytes from the first buffer. */
  void written(int count) {
    lastProgressNs = System.nanoTime();
    queuedBytes -= count;
    writtenBytes += count;
    int freedBytes = count;
    ByteBuffer first = buffers.element();
    first.position(first.position() + count);
    if (!first.hasRemaining()) {
      buffers.remove();
      freedBytes += BUFFER_OBJECT_BYTES;
    }
    memory.removed(this, freedBytes, buffers.isEmpty());
  }

  /** Discards all unwritten bytes. */
  void clear() {
    memory.removed(this, heapBytes(), true);
    buffers.clear();
    queuedBytes = 0;
  }
}
