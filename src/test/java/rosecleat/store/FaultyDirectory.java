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
 * A disk in memory that fails on a seed. What was not synced may be lost at a crash: of names any
 * part, of bytes any blocks, and the block that was being written is torn.
 */
final class FaultyDirectory implements Directory {
  static final long PLENTY = 1L << 60;
  private static final int BLOCK = 64;

  private static final class Node {
    byte[] bytes = new byte[0];
    byte[] lasting = new byte[0];
  }

  /** What becomes of names when the folder is synced, in order. */
  private interface Change {
    void make(Map<String, Node> names);
  }

  private final Random random;
  private Map<String, Node> names = new TreeMap<>();
  private Map<String, Node> lasting = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Set<String> locks = new TreeSet<>();
  private int era;

  /** Bytes that may still be written before the disk is full. */
  long room = PLENTY;

  /** The chance that a call that changes something fails. */
  double failing;

  /** The chance that a read is short. */
  double shortReads;

  /** Calls that change something, so far; at {@link #crashAt} the power goes. */
  long calls;

  long crashAt = Long.MAX_VALUE;

  FaultyDirectory(long seed) {
    random = new Random(seed);
  }

  /** The power is gone until {@link #restart}. */
  static final class PowerLoss extends IOException {
    private static final long serialVersionUID = 1;
  }

  private void change(int of) throws IOException {
    if (of != era || calls++ >= crashAt) {
      throw new PowerLoss();
    }
    if (failing > 0 && random.nextDouble() < failing) {
      throw new IOException("EIO");
    }
  }

  /** Loses what was not synced, and is there again. */
  void restart() {
    era++;
    crashAt = Long.MAX_VALUE;
    locks.clear();
    Map<String, Node> after = new TreeMap<>(lasting);
    for (Change change : changes) {
      if (random.nextBoolean()) {
        change.make(after);
      }
    }
    changes.clear();
    for (Node node : after.values()) {
      node.bytes = torn(node);
      node.lasting = node.bytes;
    }
    names = after;
    lasting = new TreeMap<>(after);
  }

  private byte[] torn(Node node) {
    int kept = node.lasting.length;
    int more = Math.max(0, node.bytes.length - kept);
    byte[] bytes = Arrays.copyOf(node.bytes, kept + (more == 0 ? 0 : random.nextInt(more + 1)));
    for (int at = kept; at < bytes.length; at += BLOCK) {
      if (random.nextInt(4) == 0) {
        Arrays.fill(bytes, at, Math.min(bytes.length, at + BLOCK), (byte) 0);
      }
    }
    return bytes;
  }

  /** The bytes of a file, to be read or damaged; and another file in its place. */
  byte[] bytes(String name) {
    return names.get(name).bytes;
  }

  void put(String name, byte[] bytes) {
    Node node = new Node();
    node.bytes = node.lasting = bytes;
    names.put(name, node);
    lasting.put(name, node);
  }

  /** A copy as it stands, with nothing left to lose. */
  FaultyDirectory copy() {
    FaultyDirectory copy = new FaultyDirectory(0);
    names.forEach((name, node) -> copy.put(name, node.bytes.clone()));
    return copy;
  }

  Map<String, byte[]> all() {
    Map<String, byte[]> all = new HashMap<>();
    names.forEach((name, node) -> all.put(name, node.bytes));
    return all;
  }

  @Override
  public Set<String> list() {
    return new TreeSet<>(names.keySet());
  }

  @Override
  public Input openInput(String name) throws IOException {
    Node node = names.get(name);
    if (node == null) {
      throw new FileNotFoundException(name);
    }
    return new Input() {
      @Override
      public long size() {
        return node.bytes.length;
      }

      @Override
      public int read(long at, ByteBuffer into) {
        if (at >= node.bytes.length) {
          return -1;
        }
        int count = (int) Math.min(into.remaining(), node.bytes.length - at);
        if (shortReads > 0 && random.nextDouble() < shortReads) {
          count = 1 + random.nextInt(count);
        }
        into.put(node.bytes, (int) at, count);
        return count;
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public Output createOutput(String name) throws IOException {
    int of = era;
    change(of);
    Node node = new Node();
    names.put(name, node);
    changes.add(map -> map.put(name, node));
    return new Output() {
      @Override
      public void write(ByteBuffer from) throws IOException {
        int count = (int) Math.min(from.remaining(), room);
        byte[] more = new byte[count];
        from.get(more);
        int half = node.bytes.length;
        byte[] grown = Arrays.copyOf(node.bytes, half + count);
        System.arraycopy(more, 0, grown, half, count);
        node.bytes = grown;
        room -= count;
        change(of);
        if (from.hasRemaining()) {
          throw new IOException("ENOSPC");
        }
      }

      @Override
      public void sync() throws IOException {
        change(of);
        node.lasting = node.bytes;
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void rename(String from, String to) throws IOException {
    change(era);
    Node node = names.remove(from);
    if (node == null) {
      throw new FileNotFoundException(from);
    }
    names.put(to, node);
    changes.add(
        map -> {
          if (map.remove(from, node)) {
            map.put(to, node);
          }
        });
  }

  @Override
  public void delete(String name) throws IOException {
    change(era);
    Node node = names.remove(name);
    if (node != null) {
      room += node.bytes.length;
      changes.add(map -> map.remove(name, node));
    }
  }

  @Override
  public void sync() throws IOException {
    change(era);
    lasting = new TreeMap<>(names);
    changes.clear();
  }

  @Override
  public Optional<AutoCloseable> tryLock(String name) {
    return locks.add(name) ? Optional.of(() -> locks.remove(name)) : Optional.empty();
  }
}
