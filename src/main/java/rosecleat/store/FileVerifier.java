package rosecleat.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import rosecleat.store.wire.SnapshotEnd;

/** Verifies the header and all records of a file without retaining any of them. */
final class FileVerifier {
  private final StateMachineFactory factory;

  FileVerifier(StateMachineFactory factory) {
    this.factory = factory;
  }

  /**
   * The result of verifying the records of a file.
   *
   * @param validBytes length of the valid part at the start of the file (bytes)
   * @param records number of application records in the valid part
   * @param hasSnapshotEnd whether the valid part ends with the end record of a snapshot
   * @param problem the problem at which the valid part ends; empty if all records up to {@code end}
   *     are valid
   * @param wasDurable whether a later record proves that the invalid part had been synced to disk
   */
  record Verification(
      long validBytes,
      long records,
      boolean hasSnapshotEnd,
      Optional<RecoveryIssue.Cause> problem,
      boolean wasDurable) {
    boolean isCompleteSnapshot() {
      return problem.isEmpty() && hasSnapshotEnd;
    }
  }

  /**
   * Reads the header of a file; returns empty if it is corrupt. Throws {@link
   * UnsupportedFormatException} if the format version is newer than this program supports.
   */
  static Optional<FileHeader> readHeader(String name, FileWindow file)
      throws IOException, UnsupportedFormatException {
    Optional<ByteBuffer> bytes = file.read(0, FileHeader.BYTES);
    if (bytes.isEmpty()) {
      return Optional.empty();
    }
    Optional<FileHeader> header = FileHeader.decode(bytes.get());
    if (header.isPresent() && header.get().version() > FileHeader.FORMAT_VERSION) {
      throw new UnsupportedFormatException(
          UnsupportedFormat.fileVersion(name, header.get().version()));
    }
    return header;
  }

  /**
   * Verifies the records of a file up to the offset {@code end} or the first problem. Throws {@link
   * UnsupportedFormatException} if a record has a type or version that this program does not
   * support.
   */
  Verification verify(String name, FileWindow file, long number, long end)
      throws IOException, UnsupportedFormatException {
    long offset = FileHeader.BYTES;
    long records = 0;
    boolean hasEnd = false;
    while (offset < end) {
      if (hasEnd) {
        return invalid(RecoveryIssue.Cause.DATA_AFTER_END, file, number, offset, end, records);
      }
      Optional<RecordFormat.Decoded> decoded = RecordFormat.decode(file, number, offset);
      if (decoded.isEmpty() || decoded.get().nextOffset() > end) {
        return invalid(RecoveryIssue.Cause.RECORD_UNREADABLE, file, number, offset, end, records);
      }
      StoredRecord record = decoded.get().record();
      if (record.type() == RecordFormat.TYPE_SNAPSHOT_END) {
        if (SnapshotEnd.parseFrom(record.payload()).getEntries() != records) {
          return new Verification(
              offset, records, false, Optional.of(RecoveryIssue.Cause.RECORDS_MISSING), false);
        }
        hasEnd = true;
      } else if (record.type() != RecordFormat.TYPE_LOG_END) {
        requireSupported(name, offset, record);
        records++;
      }
      offset = decoded.get().nextOffset();
    }
    return new Verification(offset, records, hasEnd, Optional.empty(), false);
  }

  private void requireSupported(String name, long offset, StoredRecord record)
      throws UnsupportedFormatException {
    if (!record.isApplicationRecord() || record.version() > factory.maxVersion(record.type())) {
      throw new UnsupportedFormatException(UnsupportedFormat.recordVersion(name, offset, record));
    }
  }

  private static Verification invalid(
      RecoveryIssue.Cause problem,
      FileWindow file,
      long number,
      long offset,
      long end,
      long records)
      throws IOException {
    return new Verification(
        offset, records, false, Optional.of(problem), wasDurable(file, number, offset, end));
  }

  /**
   * Returns whether a valid record after an invalid offset states that the bytes at that offset
   * were durable when the record was written. If so, the file was corrupted later; otherwise a
   * write did not complete.
   */
  private static boolean wasDurable(FileWindow file, long number, long invalidOffset, long end)
      throws IOException {
    for (long offset = invalidOffset + 1; offset <= end - RecordFormat.HEADER_BYTES; offset++) {
      Optional<RecordFormat.Decoded> decoded = RecordFormat.decode(file, number, offset);
      if (decoded.isPresent() && decoded.get().syncedBytes() > invalidOffset) {
        return true;
      }
    }
    return false;
  }
}
