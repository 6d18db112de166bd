package rosecleat.store;

import java.io.IOException;
import java.util.List;

/**
 * The writing part of a store, without threads of its own: appends records to the log and replaces
 * log segments with snapshots. Records are durable once {@link #write} has returned. Must be used
 * on one thread only, except as documented for {@link Compaction}.
 */
final class StorageEngine implements AutoCloseable {
  /** Divides the store's size limit to get the length from which on a segment is closed. */
  private static final int SEGMENT_BYTES_DIVISOR = 16;

  /** Length up to which a segment is never closed for its size. */
  private static final long MIN_SEGMENT_BYTES = 1 << 16;

  /** Divides the store's size limit to get the size of the log from which on it is compacted. */
  private static final int LOG_BYTES_DIVISOR = 4;

  /** Number of sealed segments from which on the log is compacted whatever its size. */
  private static final int MAX_SEALED_SEGMENTS = 32;

  /** Divides the store's size limit to get the excess over it that a compaction may cause. */
  private static final int COMPACTION_EXCESS_DIVISOR = 4;

  private final Directory directory;
  private final StateMachineFactory factory;
  private final long maxBytes;
  private final long quarantinedBytes;
  private final RetainedSnapshots snapshots;
  private final SegmentedLog log;

  /**
   * Continues from the result of a recovery. The caller must hold the directory's lock.
   *
   * @param maxBytes limit on the total size of all files
   * @param recovered the report of the recovery; its format must be supported
   */
  StorageEngine(
      Directory directory, StateMachineFactory factory, long maxBytes, RecoveryReport recovered)
      throws IOException {
    this.directory = directory;
    this.factory = factory;
    this.maxBytes = maxBytes;
    RecoveryPlan plan = recovered.plan().orElseThrow();
    for (String name : plan.obsoleteFiles()) {
      directory.delete(name);
    }
    quarantinedBytes = new Quarantine(directory, maxBytes).add(plan.corruptFiles());
    snapshots = new RetainedSnapshots(directory, plan.snapshot(), plan.olderSnapshot());
    log = new SegmentedLog(directory, plan.segments(), plan.highestNumber());
    if (plan.newStore()) {
      ManifestFile.write(directory, 0, 0);
    }
    if (plan.needsNewSnapshot()) {
      writeRecoveredSnapshot(recovered.state());
    } else {
      log.continueBehindLast(snapshots.current());
    }
    log.startSegment(snapshots.current());
  }

  /**
   * Writes the recovered state as a new snapshot that replaces the recovered log segments; the
   * recovered snapshot is retained as the older one.
   */
  private void writeRecoveredSnapshot(StateMachine state) throws IOException {
    long number = log.reserveNumber();
    long bytes = SnapshotWriter.write(directory, number, state);
    long base = snapshots.current();
    ManifestFile.write(directory, number, base);
    replaceSnapshot(number, bytes, base, log.sealedSegments());
    log.continueBehindSnapshot(number);
  }

  /** Returns the total size of the files (bytes), excluding those of a running compaction. */
  long bytes() {
    return log.totalBytes() + snapshots.totalBytes() + quarantinedBytes;
  }

  /**
   * Writes records; all of them are durable when this method returns. If it throws, none of them is
   * recovered once a later write has returned; if the process ends before that, any number of them,
   * counted from the first, may be recovered.
   */
  void write(List<StoredRecord> records) throws IOException {
    long length = 0;
    for (StoredRecord record : records) {
      length += RecordFormat.encodedLength(record);
    }
    if (bytes() + length > maxBytes) {
      throw new IOException("store is full: " + bytes() + " of " + maxBytes + " bytes used");
    }
    if (!log.hasActiveSegment()) {
      log.startSegment(snapshots.current());
    }
    log.append(records, (int) length);
    if (log.activeBytes() > Math.max(MIN_SEGMENT_BYTES, maxBytes / SEGMENT_BYTES_DIVISOR)) {
      log.closeSegment();
    }
  }

  /** Returns whether the log has grown enough to be compacted. */
  boolean needsCompaction() {
    return log.totalBytes() > maxBytes / LOG_BYTES_DIVISOR
        || log.sealedCount() >= MAX_SEALED_SEGMENTS;
  }

  /**
   * Prepares a compaction of all records written so far; further writes go to a new segment. Fails
   * if there is not enough space for another snapshot.
   */
  Compaction prepareCompaction() throws IOException {
    if (bytes() + snapshots.currentBytes() > maxBytes && snapshots.hasOlder()) {
      snapshots.deleteOlder();
    }
    if (bytes() + snapshots.currentBytes() > maxBytes + maxBytes / COMPACTION_EXCESS_DIVISOR) {
      throw new IOException(
          "not enough space for compaction: " + bytes() + " of " + maxBytes + " bytes used");
    }
    if (log.hasActiveSegment()) {
      log.closeSegment();
    }
    log.startSegment(snapshots.current());
    return new Compaction(directory, factory, snapshots.current(), log.sealedSegments());
  }

  /** Installs the snapshot of a successful compaction and deletes the files that it replaces. */
  void install(Compaction compaction) throws IOException {
    replaceSnapshot(
        compaction.targetSnapshot(),
        compaction.snapshotBytes(),
        compaction.baseSnapshot(),
        compaction.segments());
  }

  /** Accounts for a failed compaction, whose files may still exist. */
  void abandon(Compaction compaction) {
    snapshots.addAbandoned(compaction.snapshotBytes());
  }

  private void replaceSnapshot(long number, long bytes, long base, List<LogSegment> replaced)
      throws IOException {
    long expired = snapshots.replaceCurrent(number, bytes, base);
    log.removeSealed(replaced);
    if (expired > 0) {
      directory.delete(FileNames.snapshot(expired));
    }
    for (LogSegment segment : replaced) {
      directory.delete(segment.fileName());
    }
  }

  /** Closes the log; does not fail. */
  @Override
  public void close() {
    log.close();
  }
}
