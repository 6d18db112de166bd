package rosecleat.store;

/**
 * A problem that recovery found in a file.
 *
 * @param cause the kind of problem
 * @param file the name of the file
 * @param offset offset in the file at which the problem begins (bytes)
 * @param bytes number of bytes that are ignored or missing because of the problem
 * @param description a human-readable description without a final full stop
 */
public record RecoveryIssue(Cause cause, String file, long offset, long bytes, String description) {
  /** The kind of problem. */
  public enum Cause {
    /** The last write did not complete; no acknowledged record is lost. */
    TORN_WRITE(false, "last write is incomplete and ignored, no acknowledged record is lost"),
    /** The creation of a log segment did not complete; the segment contains no records. */
    SEGMENT_NOT_STARTED(
        false, "creation of the log segment did not complete, it contains no records"),
    /** The directory contains segments or snapshots, but no manifest. */
    MANIFEST_MISSING(true, "manifest is missing, though log segments or snapshots exist"),
    /** The manifest is corrupt. */
    MANIFEST_UNREADABLE(true, "manifest is corrupt"),
    /** A snapshot that the manifest names does not exist. */
    SNAPSHOT_MISSING(true, "snapshot that the manifest names is missing"),
    /** A snapshot is corrupt or has no valid end record. */
    SNAPSHOT_INCOMPLETE(true, "snapshot is corrupt or has no valid end record"),
    /** The header of a segment is corrupt. */
    SEGMENT_HEADER_UNREADABLE(true, "header of the log segment is corrupt"),
    /** A segment continues another segment or a snapshot that does not exist. */
    PREVIOUS_SEGMENT_MISSING(true, "preceding file %d (log segment or snapshot) is missing"),
    /** A segment continues a file that is corrupt or missing. */
    PREDECESSOR_LOST(true, "preceding snapshot or log segment is corrupt or missing"),
    /** A segment is shorter than the header of the next segment states. */
    SEGMENT_TOO_SHORT(true, "log segment is shorter than the header of the next segment states"),
    /** A record is truncated, or its header or checksum is not valid. */
    RECORD_UNREADABLE(true, "record is corrupt or truncated"),
    /** The end record of a snapshot states another number of records than the snapshot contains. */
    RECORDS_MISSING(true, "number of records differs from the number in the end record"),
    /** A snapshot has data after its end record. */
    DATA_AFTER_END(true, "data after the end record");

    private final boolean corruption;
    private final String description;

    Cause(boolean corruption, String description) {
      this.corruption = corruption;
      this.description = description;
    }
  }

  static RecoveryIssue of(Cause cause, String file, long offset, long bytes) {
    return new RecoveryIssue(cause, file, offset, bytes, cause.description);
  }

  static RecoveryIssue previousSegmentMissing(String file, long bytes, long previousNumber) {
    Cause cause = Cause.PREVIOUS_SEGMENT_MISSING;
    return new RecoveryIssue(cause, file, 0, bytes, cause.description.formatted(previousNumber));
  }

  /** Returns whether data that had been written completely is lost. */
  public boolean isCorruption() {
    return cause.corruption;
  }

  @Override
  public String toString() {
    return file + " at byte " + offset + ": " + description;
  }
}
