package rosecleat.takeover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import rosecleat.net.TextSyntax;

/**
 * Marker files of the node's processes: each process creates a numbered file and keeps it locked
 * while it is alive. The operating system releases the lock however the process ends, so a process
 * is alive if and only if its marker is locked; the mere existence of a marker proves nothing.
 * Numbers only increase: a process with a smaller number is a predecessor, one with a larger number
 * a successor.
 */
final class ProcessMarkers implements AutoCloseable {
  private static final String PROCESS_PREFIX = "process-";
  private static final String SERVING_PREFIX = "serves-";
  private static final String LEAVING_PREFIX = "leaves-";

  /** Maximum number of digits of a process number, so that it fits an int. */
  private static final int MAX_DIGITS = 9;

  private final Path folder;
  private final int ownNumber;
  private final FileChannel ownMarker;

  /**
   * Creates and locks the marker of this process, with a number above those of all markers in the
   * folder.
   */
  ProcessMarkers(Path folder) throws IOException {
    this.folder = folder;
    int candidate = processNumbers().stream().mapToInt(number -> number).max().orElse(0);
    FileChannel created = null;
    while (created == null) {
      candidate++;
      try {
        created =
            FileChannel.open(
                processFile(candidate), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
      } catch (FileAlreadyExistsException e) {
        // another process has just taken this number: try the next one
      }
    }
    ownNumber = candidate;
    ownMarker = created;
    ownMarker.lock();
  }

  /** Returns the number of this process. */
  int ownNumber() {
    return ownNumber;
  }

  /** Lists the numbers of all markers, of live and of dead processes, in ascending order. */
  Set<Integer> processNumbers() throws IOException {
    Set<Integer> numbers = new TreeSet<>();
    try (Stream<Path> files = Files.list(folder)) {
      files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.startsWith(PROCESS_PREFIX))
          .mapToLong(
              name -> TextSyntax.parseNumber(name.substring(PROCESS_PREFIX.length()), MAX_DIGITS))
          .filter(number -> number > 0)
          .forEach(number -> numbers.add((int) number));
    }
    return numbers;
  }

  /** Returns whether the process of a number is alive. */
  boolean isAlive(int number) {
    if (number == ownNumber) {
      // this process must not open its own marker again: closing a second channel releases the lock
      return true;
    }
    try (FileChannel probe = FileChannel.open(processFile(number), StandardOpenOption.WRITE);
        FileLock lock = probe.tryLock()) {
      return lock == null;
    } catch (OverlappingFileLockException e) {
      return true; // this Java virtual machine owns the lock
    } catch (IOException e) {
      return false; // the marker has been removed
    }
  }

  /** Announces to the peers that this process accepts clients. */
  void markServing() throws IOException {
    Files.write(servingFile(ownNumber), new byte[0]);
  }

  /** Returns whether the process of a number has announced that it accepts clients. */
  boolean isServing(int number) {
    return Files.exists(servingFile(number));
  }

  /**
   * Announces to the peers that this process has been asked to shut down; may be called from any
   * thread.
   */
  void markLeaving() throws IOException {
    Files.write(leavingFile(ownNumber), new byte[0]);
  }

  /** Returns whether the process of a number has announced that it has been asked to shut down. */
  boolean isLeaving(int number) {
    return Files.exists(leavingFile(number));
  }

  /** Removes the markers of a dead process. */
  void remove(int deadNumber) throws IOException {
    Files.deleteIfExists(leavingFile(deadNumber));
    Files.deleteIfExists(servingFile(deadNumber));
    Files.deleteIfExists(processFile(deadNumber));
  }

  private Path processFile(int number) {
    return folder.resolve(PROCESS_PREFIX + number);
  }

  private Path leavingFile(int number) {
    return folder.resolve(LEAVING_PREFIX + number);
  }

  private Path servingFile(int number) {
    return folder.resolve(SERVING_PREFIX + number);
  }

  /** Releases the lock, after which peers regard this process as dead. */
  @Override
  public void close() throws IOException {
    ownMarker.close();
  }
}
