package rosecleat.store;

import java.io.IOException;

/**
 * The current snapshot and the one retained behind it, as a fallback should the current one become
 * unreadable. For the writer's thread.
 */
final class RetainedSnapshots {
  private final Directory directory;
  private long current;
  private long older;
  private long currentBytes;
  private long olderBytes;
  private long abandonedBytes; // of failed compactions; the manifest on disk may name one of them

  /** Starts from the snapshots of a recovery, 0 for none; the older one may be missing. */
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

  /** Counts the bytes that a failed compaction may have left behind. */
  void addAbandoned(long bytes) {
    abandonedBytes += bytes;
  }

  void deleteOlder() throws IOException {
    directory.delete(FileNames.snapshot(older));
    older = 0;
    olderBytes = 0;
  }

  /**
   * Makes a new snapshot the current one and retains the one that it is based on.
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
