package rosecleat.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * One batch of events in the encoding of the simulator's protocol: a header, records of a fixed
 * size, and a tail with the texts. Numbers are little-endian. The buffers are reused for each
 * batch.
 */
final class BatchFrame {
  private static final int HEADER_BYTES = 16;
  private static final int RECORD_BYTES = 64;

  /** The limit on the length of a body; a frame with a longer body is malformed. */
  private static final int MAX_BODY_BYTES = 1 << 30;

  private static final int INITIAL_BUFFER_BYTES = 1 << 16;

  private static final int BODY_LENGTH = 0;
  private static final int RECORD_COUNT = 4;
  private static final int CLOCK = 8;

  private final InputStream input;
  private final ByteBuffer header =
      ByteBuffer.allocate(HEADER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
  private ByteBuffer body =
      ByteBuffer.allocate(INITIAL_BUFFER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
  private int bodyLength;
  private int recordCount;

  BatchFrame(InputStream input) {
    this.input = input;
  }

  /**
   * Reads the next batch.
   *
   * @return false if the input has ended
   * @throws WireException if the input ends inside a batch or is malformed
   */
  boolean readNext() throws IOException {
    int bytesRead = input.readNBytes(header.array(), 0, HEADER_BYTES);
    if (bytesRead == 0) {
      return false;
    }
    if (bytesRead < HEADER_BYTES) {
      throw new WireException(
          "input ended inside a frame header: got " + bytesRead + " of " + HEADER_BYTES + " bytes");
    }
    long length = Integer.toUnsignedLong(header.getInt(BODY_LENGTH));
    long count = Integer.toUnsignedLong(header.getInt(RECORD_COUNT));
    checkSize(length, count);
    bodyLength = (int) length;
    recordCount = (int) count;
    reserve(bodyLength);
    if (input.readNBytes(body.array(), 0, bodyLength) < bodyLength) {
      throw new WireException("input ended inside a frame body of " + bodyLength + " bytes");
    }
    return true;
  }

  private static void checkSize(long length, long count) {
    if (length > MAX_BODY_BYTES) {
      throw new WireException(
          "frame body of " + length + " bytes exceeds the limit of " + MAX_BODY_BYTES + " bytes");
    }
    if (count * RECORD_BYTES > length) {
      throw new WireException(
          "frame body of "
              + length
              + " bytes is too short for "
              + count
              + " records of "
              + RECORD_BYTES
              + " bytes");
    }
  }

  private void reserve(int length) {
    if (body.capacity() < length) {
      long doubled = Math.max(length, 2L * body.capacity());
      body =
          ByteBuffer.allocate((int) Math.min(MAX_BODY_BYTES, doubled))
              .order(ByteOrder.LITTLE_ENDIAN);
    }
  }

  /** Returns the time of the batch, in microseconds. */
  long clockUs() {
    return header.getLong(CLOCK);
  }

  /** Returns the number of records in the batch. */
  int recordCount() {
    return recordCount;
  }

  /** Returns the offset of a record in the body. */
  int recordOffset(int index) {
    return index * RECORD_BYTES;
  }

  byte int8(int at) {
    return body.get(at);
  }

  int unsigned8(int at) {
    return Byte.toUnsignedInt(body.get(at));
  }

  int unsigned16(int at) {
    return Short.toUnsignedInt(body.getShort(at));
  }

  int int32(int at) {
    return body.getInt(at);
  }

  long unsigned32(int at) {
    return Integer.toUnsignedLong(body.getInt(at));
  }

  long int64(int at) {
    return body.getLong(at);
  }

  float float32(int at) {
    return body.getFloat(at);
  }

  /** Returns whether this many bytes after an offset lie within the buffer. */
  boolean hasBytes(int at, int bytes) {
    return at + bytes <= body.limit();
  }

  /** Returns the text in the tail whose offset and length are encoded at {@code at}. */
  String text(int at) {
    long from = (long) recordCount * RECORD_BYTES + unsigned32(at);
    long length = unsigned32(at + Integer.BYTES);
    if (from + length > bodyLength) {
      throw new WireException(
          "text ends at byte " + (from + length) + " of a frame body of " + bodyLength + " bytes");
    }
    return new String(body.array(), (int) from, (int) length, StandardCharsets.UTF_8);
  }
}
