package rosecleat.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builds one reply in the encoding of the simulator's protocol: a header, records of a fixed size,
 * and a tail with the texts. Numbers are little-endian. The buffers are reused for each reply.
 */
final class ReplyFrame {
  /** The offset of a record's first field, which follows the code and the server. */
  static final int FIRST_FIELD = 4;

  private static final int HEADER_BYTES = 8;
  private static final int RECORD_BYTES = 24;
  private static final int INITIAL_BUFFER_BYTES = 1 << 14;
  private static final int INITIAL_TAIL_BYTES = 256;
  private static final int BODY_LENGTH = 0;
  private static final int RECORD_COUNT = 4;
  private static final int SERVER = 2;
  private static final int INTERNAL_ERROR = 1140;
  private static final long MAX_UNSIGNED_32 = 0xffffffffL;

  private ByteBuffer frame =
      ByteBuffer.allocate(INITIAL_BUFFER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
  private byte[] tail = new byte[INITIAL_TAIL_BYTES];
  private int tailLength;
  private int recordCount;

  /** Removes all records and texts, to start a new reply. */
  void clear() {
    Arrays.fill(frame.array(), 0, recordsEnd(), (byte) 0);
    recordCount = 0;
    tailLength = 0;
  }

  /** Writes the reply to the output and flushes the output. */
  void send(OutputStream out) throws IOException {
    int end = recordsEnd();
    frame.putInt(BODY_LENGTH, recordCount * RECORD_BYTES + tailLength);
    frame.putInt(RECORD_COUNT, recordCount);
    if (tailLength == 0) {
      out.write(frame.array(), 0, end);
    } else {
      byte[] complete = Arrays.copyOf(frame.array(), end + tailLength);
      System.arraycopy(tail, 0, complete, end, tailLength);
      out.write(complete);
    }
    out.flush();
  }

  private int recordsEnd() {
    return HEADER_BYTES + recordCount * RECORD_BYTES;
  }

  /** Adds a record that reports an exception in the policy of a server. */
  void internalError(int server, String text) {
    putText(add(INTERNAL_ERROR, server), text);
  }

  /** Adds a record and returns its offset. */
  int add(int code, int server) {
    int record = recordsEnd();
    if (record + RECORD_BYTES > frame.capacity()) {
      frame =
          ByteBuffer.wrap(Arrays.copyOf(frame.array(), frame.capacity() * 2))
              .order(ByteOrder.LITTLE_ENDIAN);
    }
    frame.putShort(record, (short) code);
    frame.putShort(record + SERVER, (short) server);
    recordCount++;
    return record;
  }

  void putBoolean(int at, boolean value) {
    frame.put(at, (byte) (value ? 1 : 0));
  }

  /** Writes an unsigned value of 32 bits; a value outside this range is clamped to it. */
  void putUnsigned32(int at, long value) {
    frame.putInt(at, (int) Math.max(0, Math.min(value, MAX_UNSIGNED_32)));
  }

  void putInt64(int at, long value) {
    frame.putLong(at, value);
  }

  void putFloat32(int at, float value) {
    frame.putFloat(at, value);
  }

  /** Appends a text to the tail, and writes its offset and length into a record. */
  void putText(int record, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    if (tailLength + bytes.length > tail.length) {
      tail = Arrays.copyOf(tail, Math.max(tail.length * 2, tailLength + bytes.length));
    }
    System.arraycopy(bytes, 0, tail, tailLength, bytes.length);
    frame.putInt(record + FIRST_FIELD, tailLength);
    frame.putInt(record + FIRST_FIELD + Integer.BYTES, bytes.length);
    tailLength += bytes.length;
  }
}
