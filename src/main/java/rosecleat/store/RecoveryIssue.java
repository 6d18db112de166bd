package rosecleat.store;

/**
 * Something unexpected that recovery found in a file.
 *
 * @param cause what is wrong
 * @param file the name of the file
 * @param offset where in the file it begins (bytes)
 * @param bytes how many bytes are ignored because of it
 * @param description a clause for people
 */
public record RecoveryIssue(Cause cause, String file, long offset, long bytes, String description) {
  /** What is wrong with a file. */
  public enum Cause {
    /** The last write did not complete; nothing that was acknowledged is lost. */
    TORN_WRITE(false, "an unfinished write was cut off"),
    /** A log segment whose creation did not complete; it holds nothing. */
    SEGMENT_NOT_STARTED(false, "a log that was never begun"),
    /** There are segments or snapshots, but no manifest. */
    MANIFEST_MISSING(true, "it is missing, though there are logs or snapshots"),
    /** The manifest is corrupt. */
    MANIFEST_UNREADABLE(true, "it can't be read"),
    /** A snapshot that the manifest names does not exist. */
    SNAPSHOT_MISSING(true, "it is missing"),
    /** A snapshot is corrupt or has no end record. */
    SNAPSHOT_INCOMPLETE(true, "the snapshot is not whole"),
    /** The header of a segment is corrupt. */
    SEGMENT_HEADER_UNREADABLE(true, "its header can't be read"),
    /** A segment continues one that does not exist. */
    PREVIOUS_SEGMENT_MISSING(true, "log %d before it is missing"),
    /** A segment continues a file that is corrupt or missing. */
    PREDECESSOR_LOST(true, "what it follows is damaged or missing"),
    /** A segment is shorter than the next segment's header says. */
    SEGMENT_TOO_SHORT(true, "it is shorter than the next log says"),
    /** The checksum of a record does not match, or the record is cut off. */
    RECORD_UNREADABLE(true, "an entry can't be read"),
    /** The end record of a snapshot counts more or fewer records than there are. */
    RECORDS_MISSING(true, "entries are missing"),
    /** There are bytes behind the end record of a snapshot. */
    DATA_AFTER_END(true, "something stands behind its end");

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

  /** Whether data that had been written completely is lost. */
  public boolean isCorruption() {
    return cause.corruption;
  }

  @Override
  public String toString() {
    return file + " at byte " + offset + ": " + description;
  }
}
