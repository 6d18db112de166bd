package rosecleat.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Set;

/**
 * The operations of a flat directory of files that the store needs. Written bytes survive a power
 * failure only after the file was synced; created, renamed and deleted names survive only after the
 * directory was synced. Any call may fail. After a failed write or sync, the content of that file
 * is undefined.
 */
public interface Directory {
  /** Returns the names of all regular files. */
  Set<String> list() throws IOException;

  /** Returns the length of a file (bytes). */
  default long fileSize(String name) throws IOException {
    try (Input input = openInput(name)) {
      return input.size();
    }
  }

  /** Opens a file for reading. */
  Input openInput(String name) throws IOException;

  /** Creates an empty file for writing, or truncates an existing one. */
  Output createOutput(String name) throws IOException;

  /** Renames a file atomically; replaces any existing file of the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file; does nothing if it does not exist. */
  void delete(String name) throws IOException;

  /** Makes all created, renamed and deleted names durable. */
  void sync() throws IOException;

  /**
   * Acquires an exclusive lock, which the caller releases by closing it; returns empty if the lock
   * is already held.
   */
  Optional<AutoCloseable> tryLock(String name) throws IOException;

  /** A file that is open for reading. */
  interface Input extends AutoCloseable {
    /** Returns the length of the file (bytes). */
    long size() throws IOException;

    /**
     * Reads from an offset into a buffer, possibly fewer bytes than the buffer has capacity for;
     * returns the number of bytes read, or a negative number at the end of the file.
     */
    int read(long offset, ByteBuffer target) throws IOException;

    @Override
    void close() throws IOException;
  }

  /** A file that is open for appending. */
  interface Output extends AutoCloseable {
    /** Appends all remaining bytes of a buffer. */
    void write(ByteBuffer bytes) throws IOException;

    /** Makes all bytes written so far durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
