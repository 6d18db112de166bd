package rosecleat.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of bytes, fragmented in any way, into lines and blocks of known length.
 *
 * <p>Memory is bounded: {@link #append} rejects input with which the buffered bytes would exceed
 * the longest line or block plus the capacity of the input buffer. Not thread-safe.
 */
public final class LineBuffer {
  private static final int INITIAL_CAPACITY = 1 << 10;

  private final int maxLength;
  private byte[] bytes = new byte[INITIAL_CAPACITY];
  private int start;
  private int end;

  /** Creates a buffer for lines and blocks of up to {@code maxLength} bytes. */
  public LineBuffer(int maxLength) {
    this.maxLength = maxLength;
  }

  /**
   * Appends all remaining bytes of {@code input}.
   *
   * @return false, with nothing appended, if the buffered bytes would exceed the longest line or
   *     block plus the capacity of {@code input}
   */
  public boolean append(ByteBuffer input) {
    int count = input.remaining();
    if (size() + count > maxLength + input.capacity()) {
      return false;
    }
    if (end + count > bytes.length) {
      compact(size() + count);
    }
    input.get(bytes, end, count);
    end += count;
    return true;
  }

  /** Moves the buffered bytes to the start of an array of at least {@code needed} bytes. */
  private void compact(int needed) {
    byte[] target = needed > bytes.length ? new byte[Math.max(2 * bytes.length, needed)] : bytes;
    System.arraycopy(bytes, start, target, 0, size());
    end -= start;
    start = 0;
    bytes = target;
  }

  /** Reads the next line without its terminator (LF or CR LF); returns null if it is incomplete. */
  public String readLine() {
    for (int i = start; i < end; i++) {
      if (bytes[i] == '\n') {
        int lineEnd = i > start && bytes[i - 1] == '\r' ? i - 1 : i;
        String line = new String(bytes, start, lineEnd - start, StandardCharsets.ISO_8859_1);
        start = i + 1;
        return line;
      }
    }
    return null;
  }

  /** Reads the next {@code length} bytes; returns null if fewer are buffered. */
  public byte[] readBlock(int length) {
    if (size() < length) {
      return null;
    }
    byte[] block = Arrays.copyOfRange(bytes, start, start + length);
    start += length;
    return block;
  }

  /** Returns the number of buffered bytes that have not been read. */
  public int size() {
    return end - start;
  }

  /** Returns whether more bytes are buffered than the maximum length of a line. */
  public boolean lineTooLong() {
    return size() > maxLength;
  }
}
