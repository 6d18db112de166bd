package rosecleat.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;

/**
 * One folder of plain files, as the store needs it. Nothing written is known to outlast a loss of
 * power until the file has been synced, and no name until the folder has. Any call may fail; a file
 * in which a write or a sync has failed is in doubt from then on.
 */
public interface Disk {
  /** The names of all files. */
  Set<String> names() throws IOException;

  /** A file to read. */
  In open(String name) throws IOException;

  /** A new, empty file; one of that name is emptied. */
  Out create(String name) throws IOException;

  /** Gives a file another name, in place of what has that name. */
  void rename(String from, String to) throws IOException;

  /** Takes a file away, where there is one. */
  void delete(String name) throws IOException;

  /** Makes the names last. */
  void syncFolder() throws IOException;

  /** Takes the lock of a name until it is closed; null where somebody else has it. */
  AutoCloseable lock(String name) throws IOException;

  /** A file that is read. */
  interface In extends AutoCloseable {
    /** Its length (bytes). */
    long size() throws IOException;

    /** Reads at a place, some bytes or all that fit; negative at the end. */
    int read(long at, ByteBuffer into) throws IOException;

    @Override
    void close() throws IOException;
  }

  /** A file that is written, at its end. */
  interface Out extends AutoCloseable {
    /** Writes all bytes. */
    void write(ByteBuffer bytes) throws IOException;

    /** Makes what was written last. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
