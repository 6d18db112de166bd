package rosecleat.store;

/** The result of opening or compacting a store's directory. */
public sealed interface OpenResult {
  /**
   * The store was opened for writing.
   *
   * @param store the store, which the caller has to close
   * @param recovered the report of the recovery that preceded opening
   */
  record Opened(RecordStore store, RecoveryReport recovered) implements OpenResult {}

  /**
   * The directory was compacted and closed again, or it contains no store.
   *
   * @param recovered the report of the recovery that preceded the compaction
   */
  record Compacted(RecoveryReport recovered) implements OpenResult {}

  /** Another process, or another store in this process, has locked the directory. */
  record Locked() implements OpenResult {}

  /**
   * A newer version of the program wrote the directory; nothing was changed.
   *
   * @param format the file and the format that are not supported
   */
  record Incompatible(UnsupportedFormat format) implements OpenResult {}

  /**
   * The directory could not be read or written.
   *
   * @param cause the error
   */
  record Failed(Exception cause) implements OpenResult {}
}
