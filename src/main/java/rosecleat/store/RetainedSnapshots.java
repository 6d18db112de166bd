package rosecleat.store;

import java.io.IOException;

/**
 * The current snapshot and an older one, which is retained as a fallback in case the current one
 * becomes unreadable. Must be used on the writer's thread only.
 */
final class RetainedSnapshots {
  private final Directory directory;
  private long current;
  private long older;
  private long currentBytes;
  private long olderBytes;
  private long abandonedBytes; // snapshots of failed compactions; the manifest may name one of them

  /** Starts with the snapshots that recovery found, 0 for none; the older one may be missing. */
  RetainedSnapshots(Directory directory, long current, long older) throws IOException {
    this.directory = directory;
    this.current = current;
    currentBytes = current > 0 ? directory.fileSize(FileNames.snapshot(current)) : 0;
    if (older > 0 && directory.list().contains(FileNames.snapshot(older))) {
      this.older = older;
      olderBytes = directory.fileSize(FileNames.snapshot(older));
    }
  }

  long current() {
    return current;
  }

  long currentBytes() {
    return currentBytes;
  }

  boolean hasOlder() {
    return older > 0;
  }

  long totalBytes() {
    return currentBytes + olderBytes + abandonedBytes;
  }

  /** Adds the size of a snapshot file that a failed compaction may have left on disk. */
  void addAbandoned(long bytes) {
    abandonedBytes += bytes;
  }

  void deleteOlder() throws IOException {
    directory.delete(FileNames.snapshot(older));
    older = 0;
    olderBytes = 0;
  }

  /**
   * Makes a new snapshot the current one and retains the snapshot that it is based on.
   *
   * @return the number of the snapshot that is no longer needed, 0 for none
   */
  long replaceCurrent(long number, long bytes, long base) {
    long expired = older == base ? 0 : older;
    current = number;
    older = base;
    olderBytes = currentBytes;
    currentBytes = bytes;
    return expired;
  }
}
