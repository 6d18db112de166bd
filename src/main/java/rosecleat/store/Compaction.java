package rosecleat.store;

import java.io.IOException;
import java.util.List;

/**
 * Replaces a snapshot and the sealed segments that follow it with a new snapshot. {@link #run} may
 * be called once, on any thread. Afterwards the writer's thread passes the compaction to {@link
 * StorageEngine#install} if the run succeeded, and to {@link StorageEngine#abandon} if it failed.
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
   * @param baseSnapshot number of the snapshot to start from, 0 for none
   * @param segments the sealed segments that follow it; the new snapshot gets the number of the
   *     last of them
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

  /** Writes the new snapshot, and a manifest that names it as the current one. */
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

  /** Returns the size of the new snapshot (bytes); 0 until it has been written completely. */
  long snapshotBytes() {
    return snapshotBytes;
  }
}
