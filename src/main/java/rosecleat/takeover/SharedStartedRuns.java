package rosecleat.takeover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import rosecleat.core.Counters;
import rosecleat.core.RunIdTable;
import rosecleat.core.StartedRuns;
import rosecleat.log.Log;

/**
 * Started runs of a node that may have several processes. Each process writes its table of ids to a
 * file of its own, an entry at a time and before the run starts; the others read the bucket of an
 * id from it. Two processes that start the same id at once see each other's entry, since each
 * writes before it reads.
 */
final class SharedStartedRuns implements StartedRuns, AutoCloseable {
  private static final String PREFIX = "runs-";

  /** Most files of other processes that are read; the oldest are closed first. */
  private static final int MAX_PEER_FILES = 4;

  private static final int BUCKET_BYTES = RunIdTable.BUCKET_ENTRIES * Long.BYTES;

  private final Path folder;
  private final int ownNumber;
  private final Counters counters;
  private final Log log;
  private final RunIdTable ids = new RunIdTable();
  private Optional<FileChannel> ownFile = Optional.empty();
  private final ByteBuffer entry = ByteBuffer.allocateDirect(Long.BYTES);
  private final ByteBuffer bucket = ByteBuffer.allocateDirect(BUCKET_BYTES);

  /**
   * The files of other processes by number. A file whose process has ended stays open after it was
   * deleted, since what that process ran may come again here.
   */
  private final TreeMap<Integer, FileChannel> peerFiles = new TreeMap<>();

  /** The processes that have markers, as of the last poll. */
  private Set<Integer> processNumbers = Set.of();

  /** Creates an instance without runs; the file of this process is created at its first run. */
  SharedStartedRuns(Path folder, int ownNumber, Counters counters, Log log) {
    this.folder = folder;
    this.ownNumber = ownNumber;
    this.counters = counters;
    this.log = log;
  }

  private Path file(int number) {
    return folder.resolve(PREFIX + number);
  }

  /** Sets the processes that have markers, of which dead ones may have left their files. */
  void setProcessNumbers(Set<Integer> numbers) {
    processNumbers = Set.copyOf(numbers);
    openPeerFiles();
  }

  /** Opens the files that exist by now, also that of a process that joined since the last poll. */
  private void openPeerFiles() {
    processNumbers.forEach(this::openPeerFile);
    int last = peerFiles.isEmpty() ? ownNumber : Math.max(ownNumber, peerFiles.lastKey());
    openPeerFile(last + 1);
    while (peerFiles.size() > MAX_PEER_FILES) {
      closeQuietly(peerFiles.pollFirstEntry().getValue());
    }
  }

  private void openPeerFile(int number) {
    if (number == ownNumber || peerFiles.containsKey(number) || !Files.exists(file(number))) {
      return;
    }
    try {
      peerFiles.put(number, FileChannel.open(file(number), StandardOpenOption.READ));
    } catch (IOException e) {
      log.warn("could not open the runs of a peer process, next attempt at the next poll: " + e);
    }
  }

  /** Deletes the file of a dead process; what it ran stays known to this process. */
  void removeFile(int deadNumber) throws IOException {
    Files.deleteIfExists(file(deadNumber));
  }

  @Override
  public void starting(String id) {
    long value = RunIdTable.valueOf(id);
    write(ids.add(value), value);
  }

  @Override
  public void neverRan(String id) {
    int position = ids.remove(RunIdTable.valueOf(id));
    if (position != RunIdTable.NONE) {
      write(position, 0);
    }
  }

  private void write(int position, long value) {
    entry.clear().putLong(value).flip();
    try {
      if (ownFile.isEmpty()) {
        ownFile = Optional.of(createOwnFile());
      }
      ownFile.get().write(entry, (long) position * Long.BYTES);
    } catch (IOException e) {
      counters.add("claims.failed");
      log.warn("could not publish the start of a run to peer processes: " + e);
    }
  }

  private FileChannel createOwnFile() throws IOException {
    return FileChannel.open(
        file(ownNumber),
        StandardOpenOption.CREATE,
        StandardOpenOption.TRUNCATE_EXISTING,
        StandardOpenOption.WRITE);
  }

  @Override
  public boolean mayHaveRun(String id) {
    return ids.contains(RunIdTable.valueOf(id)) || mayHaveRunInPeer(id);
  }

  @Override
  public boolean mayHaveRunInPeer(String id) {
    openPeerFiles();
    if (peerFiles.isEmpty()) {
      return false;
    }
    long value = RunIdTable.valueOf(id);
    Iterator<FileChannel> files = peerFiles.values().iterator();
    boolean found = false;
    while (files.hasNext() && !found) {
      found = containsValue(files.next(), value);
    }
    return found;
  }

  private boolean containsValue(FileChannel file, long value) {
    bucket.clear();
    try {
      file.read(bucket, (long) RunIdTable.bucketStart(value) * Long.BYTES);
    } catch (IOException e) {
      log.warn("could not read the runs of a peer process: " + e);
    }
    bucket.flip();
    while (bucket.remaining() >= Long.BYTES) {
      if (bucket.getLong() == value) {
        return true;
      }
    }
    return false;
  }

  private static void closeQuietly(FileChannel file) {
    try {
      file.close();
    } catch (IOException e) {
      return; // it was open for reading only
    }
  }

  @Override
  public void close() throws IOException {
    peerFiles.values().forEach(SharedStartedRuns::closeQuietly);
    if (ownFile.isPresent()) {
      ownFile.get().close();
    }
  }
}
