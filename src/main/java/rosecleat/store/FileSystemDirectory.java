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
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** A directory of the local file system. Thread-safe. */
public final class FileSystemDirectory implements Directory {
  /**
   * Lock files that this process has locked. Closing any channel of a locked file releases the
   * lock, so this process must not open a second channel of such a file.
   */
  private static final Set<Path> LOCKED_FILES = ConcurrentHashMap.newKeySet();

  private final Path path;

  private FileSystemDirectory(Path path) {
    this.path = path;
  }

  /** Opens a directory, creating it if it does not exist; fails if it cannot be created. */
  public static FileSystemDirectory openOrCreate(Path path) throws IOException {
    return new FileSystemDirectory(Files.createDirectories(path));
  }

  /** Opens an existing directory; fails if it does not exist or is not a directory. */
  public static FileSystemDirectory openExisting(Path path) throws IOException {
    if (!Files.exists(path)) {
      throw new NoSuchFileException(path.toString());
    }
    if (!Files.isDirectory(path)) {
      throw new NotDirectoryException(path.toString());
    }
    return new FileSystemDirectory(path);
  }

  @Override
  public Set<String> list() throws IOException {
    Set<String> names = new TreeSet<>();
    try (Stream<Path> files = Files.list(path)) {
      files.filter(Files::isRegularFile).forEach(file -> names.add(file.getFileName().toString()));
    }
    return names;
  }

  @Override
  public Input openInput(String name) throws IOException {
    return new ChannelInput(FileChannel.open(path.resolve(name), StandardOpenOption.READ));
  }

  @Override
  public Output createOutput(String name) throws IOException {
    return new ChannelOutput(
        FileChannel.open(
            path.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING));
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
  public void sync() throws IOException {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public Optional<AutoCloseable> tryLock(String name) throws IOException {
    Path file = path.toRealPath().resolve(name);
    if (!LOCKED_FILES.add(file)) {
      return Optional.empty();
    }
    FileChannel channel = null;
    FileLock lock = null;
    try {
      channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      lock = channel.tryLock();
    } finally {
      if (lock == null) {
        unlock(file, channel);
      }
    }
    FileChannel lockedChannel = channel;
    return lock == null ? Optional.empty() : Optional.of(() -> unlock(file, lockedChannel));
  }

  private static void unlock(Path file, FileChannel channel) throws IOException {
    try {
      if (channel != null) {
        channel.close();
      }
    } finally {
      LOCKED_FILES.remove(file);
    }
  }

  /** Adapts a file channel to {@link Directory.Input}. */
  private record ChannelInput(FileChannel channel) implements Input {
    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public int read(long offset, ByteBuffer target) throws IOException {
      return channel.read(target, offset);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }

  /** Adapts a file channel to {@link Directory.Output}. */
  private record ChannelOutput(FileChannel channel) implements Output {
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
  }
}
