package rosecleat.store;

import java.io.IOException;
import java.util.List;

/**
 * The writing side of a store, without threads: appends to the log, and replaces the log by
 * snapshots. What {@link #write} has returned from is durable. For one thread, except where {@link
 * Compaction} says otherwise.
 */
final class StorageEngine implements AutoCloseable {
  /** A segment is closed when it makes up this part of the store's bound... */
  private static final int SEGMENT_BYTES_DIVISOR = 16;

  /** ...but not before it has this length. */
  private static final long MIN_SEGMENT_BYTES = 1 << 16;

  /** The log is compacted when it makes up this part of the store's bound... */
  private static final int LOG_BYTES_DIVISOR = 4;

  /** ...or when it has this many sealed segments. */
  private static final int MAX_SEALED_SEGMENTS = 32;

  /** A compaction may exceed the store's bound by this part of it. */
  private static final int COMPACTION_EXCESS_DIVISOR = 4;

  private final Directory directory;
  private final StateMachineFactory factory;
  private final long maxBytes;
  private final long quarantinedBytes;
  private final RetainedSnapshots snapshots;
  private final SegmentedLog log;

  /**
   * Continues from what recovery found. The caller holds the directory's lock.
   *
   * @param maxBytes bound on the size of all files
   * @param recovered the report of a supported format
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

  /** Writes the recovered state as a snapshot that replaces all files. */
  private void writeRecoveredSnapshot(StateMachine state) throws IOException {
    long number = log.reserveNumber();
    long bytes = SnapshotWriter.write(directory, number, state);
    long base = snapshots.current();
    ManifestFile.write(directory, number, base);
    replaceSnapshot(number, bytes, base, log.sealedSegments());
    log.continueBehindSnapshot(number);
  }

  /** Returns the size of the files (bytes), without those of a compaction that is running. */
  long bytes() {
    return log.totalBytes() + snapshots.totalBytes() + quarantinedBytes;
  }

  /**
   * Writes records; all are durable when this returns. Where it throws, none of them counts once a
   * later write has returned; should the process end before that, the first of them may count, in
   * order.
   */
  void write(List<StoredRecord> records) throws IOException {
    long length = 0;
    for (StoredRecord record : records) {
      length += RecordFormat.encodedLength(record);
    }
    if (bytes() + length > maxBytes) {
      throw new IOException("the store is full: " + bytes() + " of " + maxBytes + " bytes");
    }
    if (!log.hasActiveSegment()) {
      log.startSegment(snapshots.current());
    }
    log.append(records, (int) length);
    if (log.activeBytes() > Math.max(MIN_SEGMENT_BYTES, maxBytes / SEGMENT_BYTES_DIVISOR)) {
      log.closeSegment();
    }
  }

  /** Whether the log is so long that it should be compacted. */
  boolean needsCompaction() {
    return log.totalBytes() > maxBytes / LOG_BYTES_DIVISOR
        || log.sealedCount() >= MAX_SEALED_SEGMENTS;
  }

  /**
   * Prepares a compaction of all records written so far; further writes go to a new segment. Fails
   * where there is no room for another snapshot.
   */
  Compaction prepareCompaction() throws IOException {
    if (bytes() + snapshots.currentBytes() > maxBytes && snapshots.hasOlder()) {
      snapshots.deleteOlder();
    }
    if (bytes() + snapshots.currentBytes() > maxBytes + maxBytes / COMPACTION_EXCESS_DIVISOR) {
      throw new IOException("no room to compact in: " + bytes() + " of " + maxBytes + " bytes");
    }
    if (log.hasActiveSegment()) {
      log.closeSegment();
    }
    log.startSegment(snapshots.current());
    return new Compaction(directory, factory, snapshots.current(), log.sealedSegments());
  }

  /** Takes over the snapshot of a compaction that succeeded, and deletes what it replaces. */
  void install(Compaction compaction) throws IOException {
    replaceSnapshot(
        compaction.targetSnapshot(),
        compaction.snapshotBytes(),
        compaction.baseSnapshot(),
        compaction.segments());
  }

  /** Accounts for a compaction that failed: files that it wrote may still exist. */
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

  /** Ends the log; does not fail. */
  @Override
  public void close() {
    log.close();
  }
}
