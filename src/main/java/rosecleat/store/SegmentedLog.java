package rosecleat.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The write-ahead log: an active segment, to which records are appended, and the sealed segments
 * before it. After a failed write or sync, the active segment is closed permanently, and a new
 * segment continues after the last byte that is known to be durable. Must be used on the writer's
 * thread only.
 */
final class SegmentedLog {
  private static final int INITIAL_BUFFER_BYTES = 1 << 16;

  /** A buffer that has grown beyond this size is released after the write. */
  private static final int MAX_RETAINED_BUFFER_BYTES = 1 << 20;

  private static final int LOG_END_VERSION = 1;

  private final Directory directory;
  private final List<LogSegment> sealed;
  private Directory.Output active; // null while no segment is open
  private long number; // the last file of the chain: a segment, or the snapshot that precedes it
  private long validBytes;
  private long highestNumber;
  private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

  SegmentedLog(Directory directory, List<LogSegment> segments, long highestNumber) {
    this.directory = directory;
    this.sealed = new ArrayList<>(segments);
    this.highestNumber = highestNumber;
  }

  /** Continues after the last recovered segment, or after the snapshot if the log is empty. */
  void continueBehindLast(long snapshot) {
    if (sealed.isEmpty()) {
      number = snapshot;
      return;
    }
    LogSegment last = sealed.remove(sealed.size() - 1); // startSegment() adds it again
    number = last.number();
    validBytes = last.validBytes();
  }

  /** Continues after a snapshot that was just written under a reserved number. */
  void continueBehindSnapshot(long snapshot) {
    number = snapshot;
    validBytes = 0;
  }

  /** Reserves and returns the next unused file number. */
  long reserveNumber() {
    return ++highestNumber;
  }

  /**
   * Seals the last segment and starts a new one. If this fails, a later call reuses the number,
   * because no record in the file was acknowledged.
   *
   * @param snapshot number of the current snapshot, 0 for none
   */
  void startSegment(long snapshot) throws IOException {
    long next = highestNumber + 1;
    long previousBytes = number == snapshot ? 0 : validBytes;
    Directory.Output output = directory.createOutput(FileNames.segment(next));
    try {
      output.write(FileHeader.ofSegment(next, number, previousBytes).encode());
      output.sync();
      directory.sync();
    } catch (IOException e) {
      Outputs.closeQuietly(output);
      throw e;
    }
    if (number > snapshot) {
      sealed.add(new LogSegment(number, validBytes));
    }
    number = next;
    highestNumber = next;
    validBytes = FileHeader.BYTES;
    active = output;
  }

  boolean hasActiveSegment() {
    return active != null;
  }

  /** Returns the number of valid bytes in the segment that was written last. */
  long activeBytes() {
    return validBytes;
  }

  /** Returns the total number of valid bytes in all segments. */
  long totalBytes() {
    long sum = validBytes;
    for (LogSegment segment : sealed) {
      sum += segment.validBytes();
    }
    return sum;
  }

  /** Returns the sealed segments in ascending order of their numbers. */
  List<LogSegment> sealedSegments() {
    return List.copyOf(sealed);
  }

  int sealedCount() {
    return sealed.size();
  }

  /** Removes sealed segments from the list; the caller deletes their files. */
  void removeSealed(List<LogSegment> segments) {
    sealed.removeAll(segments);
  }

  /**
   * Appends records to the active segment; they are durable when this method returns. If the write
   * fails, the segment is closed.
   */
  void append(List<StoredRecord> records, int encodedLength) throws IOException {
    if (buffer.capacity() < encodedLength) {
      buffer = ByteBuffer.allocate(encodedLength);
    }
    buffer.clear();
    for (StoredRecord record : records) {
      RecordFormat.encode(buffer, record, number, validBytes + buffer.position(), validBytes);
    }
    try {
      active.write(buffer.flip());
      active.sync();
      validBytes += encodedLength;
    } catch (IOException e) {
      closeSegment();
      throw e;
    } finally {
      if (buffer.capacity() > MAX_RETAINED_BUFFER_BYTES) {
        buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
      }
    }
  }

  /** Closes the active segment; a new segment has to be started before the next append. */
  void closeSegment() {
    Outputs.closeQuietly(active);
    active = null;
  }

  /** Closes the log with an end record, which confirms that all bytes before it are durable. */
  void close() {
    if (active == null) {
      return;
    }
    try {
      if (validBytes > FileHeader.BYTES) {
        StoredRecord end =
            new StoredRecord(RecordFormat.TYPE_LOG_END, LOG_END_VERSION, new byte[0]);
        append(List.of(end), RecordFormat.encodedLength(end));
      }
    } catch (IOException e) {
      return; // all acknowledged records are durable already
    } finally {
      if (active != null) {
        closeSegment();
      }
    }
  }
}
