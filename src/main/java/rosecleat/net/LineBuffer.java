package rosecleat.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Cuts a stream into lines and blocks of known length, whatever way its bytes come in. */
public final class LineBuffer {
  private final int longest;
  private byte[] bytes = new byte[1 << 10];
  private int from;
  private int to;

  /** A buffer that takes lines and blocks up to a length. */
  public LineBuffer(int longest) {
    this.longest = longest;
  }

  /** Takes all that has come; false where more waits than any line or block may hold. */
  public boolean add(ByteBuffer more) {
    int count = more.remaining();
    if (to - from + count > longest + more.capacity()) {
      return false;
    }
    if (to + count > bytes.length) {
      int need = to - from + count;
      byte[] room = need > bytes.length ? new byte[Math.max(2 * bytes.length, need)] : bytes;
      System.arraycopy(bytes, from, room, 0, to - from);
      to -= from;
      from = 0;
      bytes = room;
    }
    more.get(bytes, to, count);
    to += count;
    return true;
  }

  /** The next line without its end (LF or CR LF), null while it is not whole. */
  public String line() {
    for (int i = from; i < to; i++) {
      if (bytes[i] == '\n') {
        int end = i > from && bytes[i - 1] == '\r' ? i - 1 : i;
        String line = new String(bytes, from, end - from, StandardCharsets.ISO_8859_1);
        from = i + 1;
        return line;
      }
    }
    return null;
  }

  /** The next so many bytes, null while they are not all there. */
  public byte[] block(int length) {
    if (to - from < length) {
      return null;
    }
    byte[] block = Arrays.copyOfRange(bytes, from, from + length);
    from += length;
    return block;
  }

  /** Bytes that wait. */
  public int size() {
    return to - from;
  }

  /** Whether an unfinished line is longer than allowed. */
  public boolean tooLong() {
    return to - from > longest;
  }
}
