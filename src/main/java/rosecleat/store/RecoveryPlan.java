package rosecleat.store;

import java.util.List;

/**
 * The changes to the files that {@link StorageEngine} has to make before it writes.
 *
 * @param newStore whether the directory contains no store yet
 * @param snapshot number of the snapshot that was replayed, 0 for none
 * @param olderSnapshot number of the older snapshot that is retained as a fallback, 0 for none
 * @param segments the log segments that were replayed, in ascending order of their numbers
 * @param highestNumber highest number of any segment or snapshot
 * @param corruptFiles files to be quarantined
 * @param obsoleteFiles files to be deleted
 * @param needsNewSnapshot whether replaying the remaining files would no longer yield the replayed
 *     state, so that a new snapshot has to be written
 */
record RecoveryPlan(
    boolean newStore,
    long snapshot,
    long olderSnapshot,
    List<LogSegment> segments,
    long highestNumber,
    List<String> corruptFiles,
    List<String> obsoleteFiles,
    boolean needsNewSnapshot) {
  static RecoveryPlan forNewStore(List<String> obsoleteFiles) {
    return new RecoveryPlan(true, 0, 0, List.of(), 0, List.of(), obsoleteFiles, false);
  }
}
