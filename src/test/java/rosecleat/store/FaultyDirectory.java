package rosecleat.store;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * An in-memory directory that injects faults, chosen at random from a seed. At a crash, anything
 * that was not synced may be lost: any of the changed names and any blocks of the written bytes;
 * the last block may be torn.
 */
final class FaultyDirectory implements Directory {
  static final long UNLIMITED = 1L << 60;
  private static final int BLOCK_BYTES = 64;

  private static final class FileContent {
    byte[] bytes = new byte[0];
    byte[] durable = new byte[0];
  }

  /** A created, renamed or deleted name that is not durable yet. */
  private interface NameChange {
    void apply(Map<String, FileContent> names);
  }

  private final Random random;
  private Map<String, FileContent> names = new TreeMap<>();
  private Map<String, FileContent> durableNames = new TreeMap<>();
  private final List<NameChange> unsyncedChanges = new ArrayList<>();
  private final Set<String> locks = new TreeSet<>();
  private int generation;

  /** Number of bytes that can be written before the disk is full. */
  long freeBytes = UNLIMITED;

  /** Probability that a call that changes the directory fails. */
  double failureRate;

  /** Probability that a read returns fewer bytes than requested. */
  double shortReadRate;

  /**
   * Number of calls that changed the directory; the power fails when it reaches {@link
   * #powerLossAt}.
   */
  long changes;

  long powerLossAt = Long.MAX_VALUE;

  FaultyDirectory(long seed) {
    random = new Random(seed);
  }

  /**
   * Thrown by all changing calls from a power failure until {@link #restart}, and by outputs that
   * were opened before the restart.
   */
  static final class PowerLoss extends IOException {
    private static final long serialVersionUID = 1;
  }

  private void beforeChange(int callerGeneration) throws IOException {
    if (callerGeneration != generation || changes++ >= powerLossAt) {
      throw new PowerLoss();
    }
    if (failureRate > 0 && random.nextDouble() < failureRate) {
      throw new IOException("EIO");
    }
  }

  /** Discards a random part of what was not synced, and restores the power. */
  void restart() {
    generation++;
    powerLossAt = Long.MAX_VALUE;
    locks.clear();
    Map<String, FileContent> after = new TreeMap<>(durableNames);
    for (NameChange change : unsyncedChanges) {
      if (random.nextBoolean()) {
        change.apply(after);
      }
    }
    unsyncedChanges.clear();
    for (FileContent file : after.values()) {
      file.bytes = torn(file);
      file.durable = file.bytes;
    }
    names = after;
    durableNames = new TreeMap<>(after);
  }

  private byte[] torn(FileContent file) {
    int durableLength = file.durable.length;
    int unsynced = Math.max(0, file.bytes.length - durableLength);
    byte[] bytes =
        Arrays.copyOf(
            file.bytes, durableLength + (unsynced == 0 ? 0 : random.nextInt(unsynced + 1)));
    for (int at = durableLength; at < bytes.length; at += BLOCK_BYTES) {
      if (random.nextInt(4) == 0) {
        Arrays.fill(bytes, at, Math.min(bytes.length, at + BLOCK_BYTES), (byte) 0);
      }
    }
    return bytes;
  }

  /** Returns the bytes of a file, which the caller may read or corrupt. */
  byte[] bytes(String name) {
    return names.get(name).bytes;
  }

  /** Adds or replaces a file, whose content is durable at once. */
  void put(String name, byte[] bytes) {
    FileContent file = new FileContent();
    file.bytes = file.durable = bytes;
    names.put(name, file);
    durableNames.put(name, file);
  }

  /** Returns a copy of the current content, all of which is durable. */
  FaultyDirectory copy() {
    FaultyDirectory copy = new FaultyDirectory(0);
    names.forEach((name, file) -> copy.put(name, file.bytes.clone()));
    return copy;
  }

  Map<String, byte[]> all() {
    Map<String, byte[]> all = new HashMap<>();
    names.forEach((name, file) -> all.put(name, file.bytes));
    return all;
  }

  @Override
  public Set<String> list() {
    return new TreeSet<>(names.keySet());
  }

  @Override
  public Input openInput(String name) throws IOException {
    FileContent file = names.get(name);
    if (file == null) {
      throw new FileNotFoundException(name);
    }
    return new Input() {
      @Override
      public long size() {
        return file.bytes.length;
      }

      @Override
      public int read(long at, ByteBuffer into) {
        if (at >= file.bytes.length) {
          return -1;
        }
        int count = (int) Math.min(into.remaining(), file.bytes.length - at);
        if (shortReadRate > 0 && random.nextDouble() < shortReadRate) {
          count = 1 + random.nextInt(count);
        }
        into.put(file.bytes, (int) at, count);
        return count;
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public Output createOutput(String name) throws IOException {
    int openedGeneration = generation;
    beforeChange(openedGeneration);
    FileContent file = new FileContent();
    names.put(name, file);
    unsyncedChanges.add(map -> map.put(name, file));
    return new Output() {
      @Override
      public void write(ByteBuffer from) throws IOException {
        int count = (int) Math.min(from.remaining(), freeBytes);
        byte[] written = new byte[count];
        from.get(written);
        int oldLength = file.bytes.length;
        byte[] grown = Arrays.copyOf(file.bytes, oldLength + count);
        System.arraycopy(written, 0, grown, oldLength, count);
        file.bytes = grown;
        freeBytes -= count;
        beforeChange(openedGeneration);
        if (from.hasRemaining()) {
          throw new IOException("ENOSPC");
        }
      }

      @Override
      public void sync() throws IOException {
        beforeChange(openedGeneration);
        file.durable = file.bytes;
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void rename(String from, String to) throws IOException {
    beforeChange(generation);
    FileContent file = names.remove(from);
    if (file == null) {
      throw new FileNotFoundException(from);
    }
    names.put(to, file);
    unsyncedChanges.add(
        map -> {
          if (map.remove(from, file)) {
            map.put(to, file);
          }
        });
  }

  @Override
  public void delete(String name) throws IOException {
    beforeChange(generation);
    FileContent file = names.remove(name);
    if (file != null) {
      freeBytes += file.bytes.length;
      unsyncedChanges.add(map -> map.remove(name, file));
    }
  }

  @Override
  public void sync() throws IOException {
    beforeChange(generation);
    durableNames = new TreeMap<>(names);
    unsyncedChanges.clear();
  }

  @Override
  public Optional<AutoCloseable> tryLock(String name) {
    return locks.add(name) ? Optional.of(() -> locks.remove(name)) : Optional.empty();
  }
}
