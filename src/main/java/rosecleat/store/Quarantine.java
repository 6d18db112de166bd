package rosecleat.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Renames corrupt files so that operators can examine them, and deletes the oldest of these files
 * when their number or total size exceeds its limit.
 */
final class Quarantine {
  private static final int MAX_FILES = 4;

  /** Divides the store's size limit to get the limit on the total size of quarantined files. */
  private static final int MAX_BYTES_DIVISOR = 4;

  private final Directory directory;
  private final long maxBytes;

  Quarantine(Directory directory, long maxStoreBytes) {
    this.directory = directory;
    this.maxBytes = maxStoreBytes / MAX_BYTES_DIVISOR;
  }

  /**
   * Quarantines files and deletes the oldest quarantined ones beyond the limits; returns the total
   * size of those that remain (bytes).
   */
  long add(List<String> corruptFiles) throws IOException {
    List<String> quarantined = new ArrayList<>(FileNames.quarantinedFiles(directory.list()));
    long number =
        quarantined.isEmpty()
            ? 0
            : FileNames.quarantineNumber(quarantined.get(quarantined.size() - 1));
    // The first file is the corrupt one, and the others only continue it. It gets the highest
    // number so that it is retained longest.
    for (int i = corruptFiles.size() - 1; i >= 0; i--) {
      String newName = FileNames.quarantinedName(++number, corruptFiles.get(i));
      directory.rename(corruptFiles.get(i), newName);
      quarantined.add(newName);
    }
    long bytes = deleteOldest(quarantined);
    if (!corruptFiles.isEmpty()) {
      directory.sync();
    }
    return bytes;
  }

  private long deleteOldest(List<String> oldestFirst) throws IOException {
    long bytes = 0;
    for (int i = oldestFirst.size() - 1; i >= 0; i--) {
      String name = oldestFirst.get(i);
      long size = directory.fileSize(name);
      if (oldestFirst.size() - i > MAX_FILES || bytes + size > maxBytes) {
        directory.delete(name);
      } else {
        bytes += size;
      }
    }
    return bytes;
  }
}
