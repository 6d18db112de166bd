package rosecleat.store;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A file read through a window that slides along it, whole however short the reads are. */
final class Bytes implements AutoCloseable {
  private static final int WINDOW = 1 << 18;

  private final Disk.In in;
  private final long size;
  private ByteBuffer window = ByteBuffer.allocate(WINDOW).limit(0);
  private long from;

  Bytes(Disk.In in) throws IOException {
    this.in = in;
    this.size = in.size();
  }

  /** The length of the file when it was opened. */
  long size() {
    return size;
  }

  /** So many bytes at a place, good until the next call; null where the file ends before. */
  ByteBuffer at(long at, int count) throws IOException {
    if (at + count > size) {
      return null;
    }
    if (at < from || at + count > from + window.limit()) {
      fill(at, count);
    }
    int start = (int) (at - from);
    return window.duplicate().limit(start + count).position(start);
  }

  private void fill(long at, int count) throws IOException {
    if (window.capacity() < count) {
      window = ByteBuffer.allocate(count);
    }
    window.clear().limit((int) Math.min(window.capacity(), size - at));
    from = at;
    while (window.hasRemaining()) {
      if (in.read(at + window.position(), window) < 0) {
        window.limit(0);
        throw new EOFException("the file became shorter while it was read");
      }
    }
    window.flip();
  }

  @Override
  public void close() throws IOException {
    in.close();
  }
}
