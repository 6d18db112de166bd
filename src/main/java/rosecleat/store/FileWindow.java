package rosecleat.store;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Provides random access to a file through a buffer that covers the part last read. Repeats short
 * reads until the buffer is filled.
 */
final class FileWindow implements AutoCloseable {
  private static final int WINDOW_BYTES = 1 << 18;

  private final Directory.Input input;
  private final long size;
  private ByteBuffer window = ByteBuffer.allocate(WINDOW_BYTES).limit(0);
  private long windowStart;

  FileWindow(Directory.Input input) throws IOException {
    this.input = input;
    this.size = input.size();
  }

  /** Returns the length that the file had when it was opened (bytes). */
  long size() {
    return size;
  }

  /**
   * Returns {@code length} bytes at an offset, valid until the next call; returns empty if the file
   * is too short.
   */
  Optional<ByteBuffer> read(long offset, int length) throws IOException {
    if (offset + length > size) {
      return Optional.empty();
    }
    if (offset < windowStart || offset + length > windowStart + window.limit()) {
      fill(offset, length);
    }
    int start = (int) (offset - windowStart);
    return Optional.of(window.duplicate().limit(start + length).position(start));
  }

  private void fill(long offset, int length) throws IOException {
    if (window.capacity() < length) {
      window = ByteBuffer.allocate(length);
    }
    window.clear().limit((int) Math.min(window.capacity(), size - offset));
    windowStart = offset;
    while (window.hasRemaining()) {
      if (input.read(offset + window.position(), window) < 0) {
        window.limit(0);
        throw new EOFException("file was truncated while it was being read");
      }
    }
    window.flip();
  }

  @Override
  public void close() throws IOException {
    input.close();
  }
}
