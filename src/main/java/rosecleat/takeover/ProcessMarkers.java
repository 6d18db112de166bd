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
 * The marks of a node's processes: a numbered file each, locked for as long as its process lives.
 * The system frees a lock with its process, however that ends; a file that is there proves nothing.
 */
final class ProcessMarkers implements AutoCloseable {
  private static final String MARK = "process-";
  private static final String SERVES = "serves-";

  private final Path folder;
  private final int number;
  private final FileChannel channel;

  /** Sets a mark of this process, numbered after all there are. */
  ProcessMarkers(Path folder) throws IOException {
    this.folder = folder;
    int next = numbers().stream().mapToInt(n -> n).max().orElse(0);
    FileChannel fresh = null;
    while (fresh == null) {
      try {
        fresh =
            FileChannel.open(
                folder.resolve(MARK + ++next),
                StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE);
      } catch (FileAlreadyExistsException e) {
        continue; // another process started in the same instant: the next number is ours
      }
    }
    number = next;
    channel = fresh;
    channel.lock();
  }

  /** The number of this process. */
  int number() {
    return number;
  }

  /** The numbers of all marks, of live processes and of dead ones. */
  Set<Integer> numbers() throws IOException {
    Set<Integer> found = new TreeSet<>();
    try (Stream<Path> files = Files.list(folder)) {
      files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.startsWith(MARK))
          .forEach(
              name -> {
                long n = TextSyntax.parseNumber(name.substring(MARK.length()), 9);
                if (n > 0) {
                  found.add((int) n);
                }
              });
    }
    return found;
  }

  /** Whether the process of a number lives. */
  boolean lives(int other) {
    if (other == number) {
      return true; // never opened twice: closing it would free the lock
    }
    try (FileChannel probe =
            FileChannel.open(folder.resolve(MARK + other), StandardOpenOption.WRITE);
        FileLock lock = probe.tryLock()) {
      return lock == null;
    } catch (OverlappingFileLockException e) {
      return true; // it is held in this very virtual machine
    } catch (IOException e) {
      return false; // no such mark any more
    }
  }

  /** Says that this process takes clients. */
  void serve() throws IOException {
    Files.write(folder.resolve(SERVES + number), new byte[0]);
  }

  /** Whether the process of a number said that it takes clients. */
  boolean serves(int other) {
    return Files.exists(folder.resolve(SERVES + other));
  }

  /** Takes away the marks of a process that is dead. */
  void remove(int dead) throws IOException {
    Files.deleteIfExists(folder.resolve(SERVES + dead));
    Files.deleteIfExists(folder.resolve(MARK + dead));
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
