package rosecleat.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the records that follow a file's header. Numbers are big-endian. The checksum
 * (CRC32C, RFC 3720, appendix B.4) covers the file's number and the record's offset as well, so
 * that a block that was written to another file or offset does not pass as valid.
 */
final class RecordFormat {
  /** Length of the fields before the payload (bytes). */
  static final int HEADER_BYTES = 18;

  /** Type of the record that ends a segment when the store is closed cleanly. */
  static final int TYPE_LOG_END = 0xfffd;

  /** Type of the only record in a manifest. */
  static final int TYPE_MANIFEST = 0xfffe;

  /** Type of the record that ends a snapshot. */
  static final int TYPE_SNAPSHOT_END = 0xffff;

  private static final byte MAGIC = (byte) 0xc5;
  private static final int VERSION_OFFSET = 1;
  private static final int TYPE_OFFSET = 2;
  private static final int LENGTH_OFFSET = 4;
  private static final int SYNCED_OFFSET = 8;
  private static final int CHECKSUM_OFFSET = 14;
  private static final int LOCATION_BYTES = 2 * Long.BYTES;
  private static final long MAX_UNSIGNED_48_BITS = (1L << 48) - 1;

  private RecordFormat() {}

  /**
   * A record that was read from a file.
   *
   * @param record the record
   * @param syncedBytes number of bytes of the file that were known to be durable when the record
   *     was written
   * @param nextOffset offset of the next record in the file
   */
  record Decoded(StoredRecord record, long syncedBytes, long nextOffset) {}

  /** Returns the encoded length of a record (bytes). */
  static int encodedLength(StoredRecord record) {
    return HEADER_BYTES + record.payload().length;
  }

  /**
   * Encodes a record.
   *
   * @param target buffer that receives the encoded record; must have enough space remaining
   * @param fileNumber the number of the file
   * @param offset offset in the file at which the record will be written
   * @param syncedBytes number of bytes of the file that are known to be durable
   */
  static void encode(
      ByteBuffer target, StoredRecord record, long fileNumber, long offset, long syncedBytes) {
    int start = target.position();
    target
        .put(MAGIC)
        .put((byte) record.version())
        .putShort((short) record.type())
        .putInt(record.payload().length)
        .putShort((short) (syncedBytes >>> 32))
        .putInt((int) syncedBytes);
    ByteBuffer header = target.slice(start, CHECKSUM_OFFSET);
    int checksum = checksum(header, ByteBuffer.wrap(record.payload()), fileNumber, offset);
    target.putInt(checksum).put(record.payload());
  }

  private static int checksum(ByteBuffer header, ByteBuffer payload, long fileNumber, long offset) {
    CRC32C checksum = new CRC32C();
    checksum.update(ByteBuffer.allocate(LOCATION_BYTES).putLong(fileNumber).putLong(offset).flip());
    checksum.update(header);
    checksum.update(payload);
    return (int) checksum.getValue();
  }

  /** Decodes the record at an offset of a file; returns empty if it is incomplete or invalid. */
  static Optional<Decoded> decode(FileWindow file, long fileNumber, long offset)
      throws IOException {
    Optional<ByteBuffer> header = file.read(offset, HEADER_BYTES);
    if (header.isEmpty()) {
      return Optional.empty();
    }
    ByteBuffer fields = header.get().slice();
    int length = fields.getInt(LENGTH_OFFSET);
    if (fields.get(0) != MAGIC
        || fields.get(VERSION_OFFSET) == 0
        || length < 0
        || length > StoredRecord.MAX_PAYLOAD_BYTES) {
      return Optional.empty();
    }
    Optional<ByteBuffer> encoded = file.read(offset, HEADER_BYTES + length);
    if (encoded.isEmpty()) {
      return Optional.empty();
    }
    return decode(encoded.get().slice(), fileNumber, offset);
  }

  private static Optional<Decoded> decode(ByteBuffer encoded, long fileNumber, long offset) {
    ByteBuffer header = encoded.slice(0, CHECKSUM_OFFSET);
    ByteBuffer payload = encoded.slice(HEADER_BYTES, encoded.remaining() - HEADER_BYTES);
    if (encoded.getInt(CHECKSUM_OFFSET)
        != checksum(header, payload.duplicate(), fileNumber, offset)) {
      return Optional.empty();
    }
    byte[] bytes = new byte[payload.remaining()];
    payload.get(bytes);
    StoredRecord record =
        new StoredRecord(
            Short.toUnsignedInt(encoded.getShort(TYPE_OFFSET)),
            Byte.toUnsignedInt(encoded.get(VERSION_OFFSET)),
            bytes);
    long syncedBytes = encoded.getLong(SYNCED_OFFSET) >>> 16 & MAX_UNSIGNED_48_BITS;
    return Optional.of(new Decoded(record, syncedBytes, offset + encoded.remaining()));
  }
}
