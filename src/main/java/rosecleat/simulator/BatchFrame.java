package rosecleat.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * One batch of events as it is on the wire: a header, records of a fixed size, and a tail of texts.
 * Little-endian; the buffer is reused from batch to batch.
 */
final class BatchFrame {
  private static final int HEADER_BYTES = 16;
  private static final int RECORD_BYTES = 64;

  /** A body longer than this cannot be a frame (bytes). */
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
   * @return false where the input ends before it
   * @throws WireException where the input is not a batch
   */
  boolean readNext() throws IOException {
    int bytesRead = input.readNBytes(header.array(), 0, HEADER_BYTES);
    if (bytesRead == 0) {
      return false;
    }
    if (bytesRead < HEADER_BYTES) {
      throw new WireException("input ends inside a frame header");
    }
    long length = Integer.toUnsignedLong(header.getInt(BODY_LENGTH));
    long count = Integer.toUnsignedLong(header.getInt(RECORD_COUNT));
    checkSize(length, count);
    bodyLength = (int) length;
    recordCount = (int) count;
    reserve(bodyLength);
    if (input.readNBytes(body.array(), 0, bodyLength) < bodyLength) {
      throw new WireException("input ends inside a frame");
    }
    return true;
  }

  private static void checkSize(long length, long count) {
    if (length > MAX_BODY_BYTES) {
      throw new WireException("frame of " + length + " bytes is too long");
    }
    if (count * RECORD_BYTES > length) {
      throw new WireException(
          "frame of " + length + " bytes is too short for " + count + " records");
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

  /** The time of the batch (us). */
  long clockUs() {
    return header.getLong(CLOCK);
  }

  /** The number of its records. */
  int recordCount() {
    return recordCount;
  }

  /** Where a record begins in the body. */
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

  /** Whether so many bytes can be read from an offset. */
  boolean hasBytes(int at, int bytes) {
    return at + bytes <= body.limit();
  }

  /** A text of the tail, whose offset and length stand at {@code at}. */
  String text(int at) {
    long from = (long) recordCount * RECORD_BYTES + unsigned32(at);
    long length = unsigned32(at + Integer.BYTES);
    if (from + length > bodyLength) {
      throw new WireException("offset outside the tail");
    }
    return new String(body.array(), (int) from, (int) length, StandardCharsets.UTF_8);
  }
}
