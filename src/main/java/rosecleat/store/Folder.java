package rosecleat.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** A folder of the machine's own file system. */
public final class Folder implements Disk {
  /**
   * Locked in this process. Guards against closing a second channel to such a file: that would free
   * the lock.
   */
  private static final Set<Path> HELD = ConcurrentHashMap.newKeySet();

  private final Path path;

  private Folder(Path path) {
    this.path = path;
  }

  /** A folder that is made where it is missing; fails where it can't be, or is no folder. */
  public static Folder made(Path path) throws IOException {
    return new Folder(Files.createDirectories(path));
  }

  /** A folder that is there; fails where none is. */
  public static Folder of(Path path) throws IOException {
    if (!Files.exists(path)) {
      throw new NoSuchFileException(path.toString());
    }
    if (!Files.isDirectory(path)) {
      throw new NotDirectoryException(path.toString());
    }
    return new Folder(path);
  }

  @Override
  public Set<String> names() throws IOException {
    Set<String> names = new TreeSet<>();
    try (Stream<Path> files = Files.list(path)) {
      files.filter(Files::isRegularFile).forEach(file -> names.add(file.getFileName().toString()));
    }
    return names;
  }

  @Override
  public In open(String name) throws IOException {
    FileChannel channel = FileChannel.open(path.resolve(name), StandardOpenOption.READ);
    return new In() {
      @Override
      public long size() throws IOException {
        return channel.size();
      }

      @Override
      public int read(long at, ByteBuffer into) throws IOException {
        return channel.read(into, at);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  @Override
  public Out create(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            path.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING);
    return new Out() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
          channel.write(bytes);
        }
      }

      @Override
      public void sync() throws IOException {
        channel.force(false);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(path.resolve(name));
  }

  @Override
  public void syncFolder() throws IOException {
    try (FileChannel folder = FileChannel.open(path, StandardOpenOption.READ)) {
      folder.force(true);
    }
  }

  @Override
  public AutoCloseable lock(String name) throws IOException {
    Path file = path.toRealPath().resolve(name);
    if (!HELD.add(file)) {
      return null;
    }
    FileChannel channel = null;
    FileLock lock = null;
    try {
      channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      lock = channel.tryLock();
    } finally {
      if (lock == null) {
        free(file, channel);
      }
    }
    FileChannel locked = channel;
    return lock == null ? null : () -> free(file, locked);
  }

  private static void free(Path file, FileChannel channel) throws IOException {
    try {
      if (channel != null) {
        channel.close();
      }
    } finally {
      HELD.remove(file);
    }
  }
}
