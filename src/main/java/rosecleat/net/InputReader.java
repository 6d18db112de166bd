package rosecleat.net;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;

/**
 * Reads the input of a channel ahead of its handler, so that the end of the stream becomes known
 * before the input in front of it is handled. The reader fills two buffers of its own, and further
 * ones while the memory that connections share for this allows it.
 *
 * <p>After each read, the I/O thread reads on at once until the socket has no more input, and only
 * then posts to the event loop. All methods that are not private may be called on the event loop
 * only, except for those of the completion handler.
 */
final class InputReader implements CompletionHandler<Integer, ByteBuffer> {
  private static final int OWN_BUFFERS = 2;

  /** Size of the first further buffer; each is twice as large as the one before. */
  private static final int MIN_EXTRA_BUFFER_BYTES = 16 << 10;

  /** Size of the largest further buffer. A completion handler may start 16 reads in a row. */
  private static final int MAX_EXTRA_BUFFER_BYTES = 128 << 10;

  /** Most bytes of the further buffers of one connection. */
  private static final int MAX_EXTRA_BYTES = 1 << 20;

  /** The end of a connection's input: the end of the stream, or a failure. */
  record End(boolean endOfStream, String detail) {}

  private final EventLoop loop;
  private final AsynchronousSocketChannel channel;
  private final ReadAheadMemory memory;
  private final Runnable available;

  /**
   * Input that was announced to the event loop, which alone uses this queue. Input that arrived
   * later waits for its own task, so that it is not handled before tasks that were posted earlier.
   */
  private final ArrayDeque<ByteBuffer> announced = new ArrayDeque<>(OWN_BUFFERS);

  /** Nested calls of the completion handler; used on the I/O thread only. */
  private int depth;

  // The following fields are guarded by this object's monitor.
  private final ArrayDeque<ByteBuffer> unused = new ArrayDeque<>(OWN_BUFFERS);
  private final ArrayDeque<ByteBuffer> arrived = new ArrayDeque<>(OWN_BUFFERS);
  private int extraBytes;
  private boolean reading;
  private boolean closed;
  private End end;

  /**
   * Creates a reader that does not read yet.
   *
   * @param bufferBytes the size of its own buffers together
   * @param memory the memory for further buffers
   * @param available called on the event loop after input has been read or has ended
   */
  InputReader(
      EventLoop loop,
      AsynchronousSocketChannel channel,
      int bufferBytes,
      ReadAheadMemory memory,
      Runnable available) {
    this.loop = loop;
    this.channel = channel;
    this.memory = memory;
    this.available = available;
    for (int i = 0; i < OWN_BUFFERS; i++) {
      unused.add(ByteBuffer.allocate(ownBufferBytes(bufferBytes)));
    }
  }

  /** Returns the size of one of its own buffers, which is less than that of a further buffer. */
  private static int ownBufferBytes(int bufferBytes) {
    return Math.max(1, Math.min(bufferBytes / OWN_BUFFERS, MIN_EXTRA_BUFFER_BYTES / 2));
  }

  /** Starts to read unless a read is in progress, the input has ended or no buffer is free. */
  void read() {
    ByteBuffer buffer = beginRead();
    if (buffer == null) {
      return;
    }
    try {
      channel.read(buffer, buffer, this);
    } catch (RuntimeException e) { // the channel has been closed concurrently
      endWith(new End(false, e.toString()));
      loop.execute(available);
    }
  }

  private synchronized ByteBuffer beginRead() {
    if (reading || closed || end != null) {
      return null;
    }
    ByteBuffer buffer = unused.isEmpty() ? extraBuffer() : unused.remove();
    reading = buffer != null;
    return buffer;
  }

  /** Allocates a further buffer; returns null if the memory for these is used up. */
  private ByteBuffer extraBuffer() {
    int wanted = MIN_EXTRA_BUFFER_BYTES + extraBytes;
    int size = Math.min(wanted, MAX_EXTRA_BUFFER_BYTES);
    int maxBytes = (int) Math.min(MAX_EXTRA_BYTES, memory.limitBytes() / 2);
    if (extraBytes + size > maxBytes || !memory.tryReserve(size)) {
      return null;
    }
    extraBytes += size;
    return ByteBuffer.allocate(size);
  }

  /** Stores what was read and reads on; the outermost of nested calls posts to the event loop. */
  @Override
  public void completed(Integer count, ByteBuffer buffer) {
    depth++;
    if (count < 0) {
      endWith(new End(true, ""));
    } else {
      store(buffer);
      read();
    }
    depth--;
    if (depth == 0) {
      loop.execute(available);
    }
  }

  @Override
  public void failed(Throwable cause, ByteBuffer buffer) {
    endWith(new End(false, String.valueOf(cause.getMessage())));
    if (depth == 0) {
      loop.execute(available);
    }
  }

  private synchronized void store(ByteBuffer buffer) {
    reading = false;
    arrived.add(buffer.flip());
  }

  private synchronized void endWith(End newEnd) {
    reading = false;
    end = newEnd;
  }

  /** Takes over the input that has arrived; called by the task that was posted for it. */
  synchronized void announceArrived() {
    announced.addAll(arrived);
    arrived.clear();
  }

  /** Returns the oldest announced input that has not been released; null if there is none. */
  ByteBuffer input() {
    return announced.peek();
  }

  /** Releases the buffer that {@link #input} returns. */
  synchronized void releaseInput() {
    ByteBuffer released = announced.remove();
    if (released.capacity() < MIN_EXTRA_BUFFER_BYTES) {
      unused.add(released.clear());
    } else {
      extraBytes -= released.capacity();
      memory.release(released.capacity());
    }
  }

  /** Returns the end of the input; null as long as it has not ended. */
  synchronized End end() {
    return end;
  }

  /** Returns whether input has been read that has not been released. */
  synchronized boolean hasInput() {
    return !arrived.isEmpty() || !announced.isEmpty();
  }

  /** Returns whether input has been read that has not been released, or the input has ended. */
  synchronized boolean hasUnhandled() {
    return end != null || hasInput();
  }

  /** Stops reading and releases all buffers. */
  synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    arrived.clear();
    announced.clear();
    memory.release(extraBytes);
    extraBytes = 0;
  }
}
