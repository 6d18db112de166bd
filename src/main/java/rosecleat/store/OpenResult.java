package rosecleat.store;

/** The outcome of opening or compacting a directory. */
public sealed interface OpenResult {
  /**
   * The store is open for writing.
   *
   * @param store the store, which the caller closes
   * @param recovered what was found in the directory
   */
  record Opened(RecordStore store, RecoveryReport recovered) implements OpenResult {}

  /**
   * The directory was compacted and closed again, or holds no store that could be compacted.
   *
   * @param recovered what was found in the directory before
   */
  record Compacted(RecoveryReport recovered) implements OpenResult {}

  /** Another process, or another store of this process, writes to the directory. */
  record Locked() implements OpenResult {}

  /**
   * A newer program wrote the directory; nothing was changed.
   *
   * @param format what is not supported
   */
  record Incompatible(UnsupportedFormat format) implements OpenResult {}

  /**
   * The directory could not be read or written.
   *
   * @param cause the error
   */
  record Failed(Exception cause) implements OpenResult {}
}
