package rosecleat.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * One reply on the wire, under construction: a header, records of a fixed size, and a tail of
 * texts. Little-endian; the buffers are reused from reply to reply.
 */
final class ReplyFrame {
  /** The first field of a record, after its code and server. */
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

  /** Begins a new reply. */
  void clear() {
    Arrays.fill(frame.array(), 0, recordsEnd(), (byte) 0);
    recordCount = 0;
    tailLength = 0;
  }

  /** Writes the reply and flushes it. */
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

  /** Reports an exception in the policy of a server. */
  void internalError(int server, String text) {
    putText(add(INTERNAL_ERROR, server), text);
  }

  /** Adds a record and returns where it begins. */
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

  /** Puts an unsigned value of 32 bits; a value outside its range becomes the nearest in it. */
  void putUnsigned32(int at, long value) {
    frame.putInt(at, (int) Math.max(0, Math.min(value, MAX_UNSIGNED_32)));
  }

  void putInt64(int at, long value) {
    frame.putLong(at, value);
  }

  void putFloat32(int at, float value) {
    frame.putFloat(at, value);
  }

  /** Adds a text to the tail, and puts its offset and length into a record. */
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
