package rosecleat.store;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The header at the start of each file: magic number, file type, format version, file numbers and a
 * CRC32C checksum (RFC 3720, appendix B.4) of all these fields. Numbers are big-endian.
 *
 * @param fileType {@link #SEGMENT}, {@link #SNAPSHOT} or {@link #MANIFEST}
 * @param version the format version of the file
 * @param number the number of the file
 * @param previousNumber for a segment, the number of the file that it continues; otherwise 0
 * @param previousBytes for a segment that continues another segment, the number of valid bytes of
 *     that segment; otherwise 0
 */
record FileHeader(
    char fileType, int version, long number, long previousNumber, long previousBytes) {
  /** Length of a header (bytes). */
  static final int BYTES = 40;

  /** The format version that this program writes, and the newest one that it reads. */
  static final int FORMAT_VERSION = 1;

  static final char SEGMENT = 'L';
  static final char SNAPSHOT = 'S';
  static final char MANIFEST = 'M';

  private static final byte[] MAGIC = {'r', 'c', 's', 't', 'o', 'r', 'e'};
  private static final int VERSION_OFFSET = 8;
  private static final int NUMBER_OFFSET = 12;
  private static final int PREVIOUS_NUMBER_OFFSET = 20;
  private static final int PREVIOUS_BYTES_OFFSET = 28;
  private static final int CHECKSUM_OFFSET = 36;

  static FileHeader ofSegment(long number, long previousNumber, long previousBytes) {
    return new FileHeader(SEGMENT, FORMAT_VERSION, number, previousNumber, previousBytes);
  }

  static FileHeader ofSnapshot(long number) {
    return new FileHeader(SNAPSHOT, FORMAT_VERSION, number, 0, 0);
  }

  static FileHeader ofManifest() {
    return new FileHeader(MANIFEST, FORMAT_VERSION, 0, 0, 0);
  }

  ByteBuffer encode() {
    ByteBuffer encoded =
        ByteBuffer.allocate(BYTES)
            .put(MAGIC)
            .put((byte) fileType)
            .putInt(version)
            .putLong(number)
            .putLong(previousNumber)
            .putLong(previousBytes);
    return encoded.putInt(checksum(encoded.duplicate().flip())).flip();
  }

  /** Decodes the header at the start of a buffer; returns empty if the header is not valid. */
  static Optional<FileHeader> decode(ByteBuffer bytes) {
    if (bytes.remaining() < BYTES) {
      return Optional.empty();
    }
    ByteBuffer header = bytes.slice(bytes.position(), BYTES);
    if (header.getInt(CHECKSUM_OFFSET) != checksum(header.slice(0, CHECKSUM_OFFSET))) {
      return Optional.empty();
    }
    byte[] magic = new byte[MAGIC.length];
    header.get(0, magic);
    if (!Arrays.equals(magic, MAGIC)) {
      return Optional.empty();
    }
    return Optional.of(
        new FileHeader(
            (char) header.get(MAGIC.length),
            header.getInt(VERSION_OFFSET),
            header.getLong(NUMBER_OFFSET),
            header.getLong(PREVIOUS_NUMBER_OFFSET),
            header.getLong(PREVIOUS_BYTES_OFFSET)));
  }

  private static int checksum(ByteBuffer bytes) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes);
    return (int) checksum.getValue();
  }

  boolean matches(char expectedType, long expectedNumber) {
    return fileType == expectedType && number == expectedNumber;
  }
}
