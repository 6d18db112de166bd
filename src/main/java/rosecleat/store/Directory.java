package rosecleat.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Set;

/**
 * A flat directory of files, as the store needs it. Written bytes survive a power failure only once
 * the file was synced, and created, renamed or deleted names only once the directory was. Any call
 * may fail; after a failed write or sync the content of that file is undefined.
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

  /** Renames a file atomically; replaces a file that has the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file; does nothing where there is none. */
  void delete(String name) throws IOException;

  /** Makes all changes of names durable. */
  void sync() throws IOException;

  /** Takes an exclusive lock until it is closed; empty where another holder has it. */
  Optional<AutoCloseable> tryLock(String name) throws IOException;

  /** A file that is open for reading. */
  interface Input extends AutoCloseable {
    /** Returns the length of the file (bytes). */
    long size() throws IOException;

    /**
     * Reads from an offset into a buffer, possibly less than fits; returns the number of bytes, or
     * a negative number at the end of the file.
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
