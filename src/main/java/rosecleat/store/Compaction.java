package rosecleat.store;

import java.io.IOException;
import java.util.List;

/**
 * Replaces a snapshot and the sealed segments behind it by a new snapshot. {@link #run} may be
 * called on any one thread; its outcome is then passed to {@link StorageEngine#install} or {@link
 * StorageEngine#abandon} on the writer's thread.
 */
final class Compaction {
  private final Directory directory;
  private final StateMachineFactory factory;
  private final long targetSnapshot;
  private final long baseSnapshot;
  private final List<LogSegment> segments;
  private long snapshotBytes;

  /**
   * Creates a compaction.
   *
   * @param baseSnapshot number of the snapshot to begin with, 0 for none
   * @param segments the sealed segments behind it; the new snapshot gets the last one's number
   */
  Compaction(
      Directory directory,
      StateMachineFactory factory,
      long baseSnapshot,
      List<LogSegment> segments) {
    this.directory = directory;
    this.factory = factory;
    this.targetSnapshot = segments.get(segments.size() - 1).number();
    this.baseSnapshot = baseSnapshot;
    this.segments = segments;
  }

  /** Writes the new snapshot and makes it the current one on disk. */
  void run() throws IOException {
    StateMachine state = factory.newStateMachine();
    RecordReplay.replay(directory, baseSnapshot, segments, state);
    snapshotBytes = SnapshotWriter.write(directory, targetSnapshot, state);
    ManifestFile.write(directory, targetSnapshot, baseSnapshot);
  }

  long targetSnapshot() {
    return targetSnapshot;
  }

  long baseSnapshot() {
    return baseSnapshot;
  }

  List<LogSegment> segments() {
    return segments;
  }

  /** Returns the size of the new snapshot; 0 until it is written completely. */
  long snapshotBytes() {
    return snapshotBytes;
  }
}
