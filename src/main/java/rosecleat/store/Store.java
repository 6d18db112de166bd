package rosecleat.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * A store that is open for writing. One thread writes: whatever waits when it comes round is
 * written in one go and synced once, so callers share syncs under load and nobody waits when there
 * is none. Callers never wait for the disk; the queue is bounded, and a full one is a value. A disk
 * that fails costs the records that wait, and is tried again.
 */
public final class Store implements AutoCloseable {
  /** What became of an append when it was made. */
  public enum Taken {
    /** It waits for the disk; its {@link Done} is called. */
    QUEUED,
    /** There is no room in the queue; nothing is written. */
    FULL,
    /** The store is closed; nothing is written. */
    CLOSED
  }

  /** Hears what became of what was queued, on the writer's thread; it must not wait. */
  public interface Done {
    /** {@code fault} is null once all of it is on disk, else a sentence, and none of it counts. */
    void done(String fault);
  }

  /** What a folder answers to being opened. */
  public sealed interface Opening {}

  /** It is open, with what was found in it; the store is null where it was only compacted. */
  public record Opened(Store store, Recovered found) implements Opening {}

  /** Another process writes to it. */
  public record Locked() implements Opening {}

  /** It is of a later program, and was left as it is. */
  public record Refused(String why) implements Opening {}

  /** The disk did not let it be read or written. */
  public record Failed(String why) implements Opening {}

  /**
   * Bounds.
   *
   * @param mostBytes on disk, all files together
   * @param waiting appends in the queue
   * @param waitingBytes their payloads together
   */
  public record Limits(long mostBytes, int waiting, long waitingBytes) {
    /** The smallest bound on disk that makes sense (bytes). */
    public static final long LEAST_BYTES = 1 << 20;
  }

  /** Counts since the store was opened; {@code longestSyncNs} of one write with its sync. */
  public record Figures(
      long appends, long syncs, long failures, long compactions, long bytes, long longestSyncNs) {}

  private static final int BATCH_BYTES = 1 << 20;
  private static final long POLL_MS = 100;
  private static final long FIRST_PAUSE_NS = 50_000_000;
  private static final long LONGEST_PAUSE_NS = 2_000_000_000;
  private static final long COMPACT_AGAIN_NS = 5_000_000_000L;

  private record Waiting(List<Entry> entries, long bytes, Done done) {}

  private final Engine engine;
  private final AutoCloseable lock;
  private final Limits limits;
  private final Consumer<String> events;
  private final ArrayBlockingQueue<Waiting> queue;
  private final AtomicLong queued = new AtomicLong();
  private final Thread writer;
  private volatile boolean closing;
  private volatile Figures figures = new Figures(0, 0, 0, 0, 0, 0);
  // the writer's own
  private Thread compacting;
  private volatile Runnable compacted;
  private long compactAtNs = Long.MIN_VALUE;
  private long retryAtNs;
  private long pauseNs = FIRST_PAUSE_NS;
  private boolean failing;

  private Store(Engine engine, AutoCloseable lock, Limits limits, Consumer<String> events) {
    this.engine = engine;
    this.lock = lock;
    this.limits = limits;
    this.events = events;
    queue = new ArrayBlockingQueue<>(limits.waiting());
    writer = new Thread(this::write, "store");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Opens a folder for writing. Waits for the disk: not for the loop.
   *
   * @param events hears a line for each change of the store's state, on any thread
   */
  public static Opening open(Disk disk, Owner owner, Limits limits, Consumer<String> events) {
    AutoCloseable lock = null;
    try {
      lock = disk.lock(Names.LOCK);
      if (lock == null) {
        return new Locked();
      }
      Recovered found = Recovery.read(disk, owner);
      if (found.refusal() != null) {
        unlock(lock);
        return new Refused(found.refusal());
      }
      return new Opened(
          new Store(new Engine(disk, owner, limits.mostBytes(), found), lock, limits, events),
          found);
    } catch (IOException | RuntimeException e) {
      unlock(lock);
      return new Failed(String.valueOf(e));
    }
  }

  /**
   * Reads a folder without its lock, changing nothing; fails where a writer took files away under
   * the reading.
   */
  public static Recovered look(Disk disk, Owner owner) throws IOException {
    return Recovery.read(disk, owner);
  }

  /** Compacts a folder that nobody writes to, here and now. */
  public static Opening compact(Disk disk, Owner owner, long mostBytes) {
    AutoCloseable lock = null;
    try {
      Recovered before = Recovery.read(disk, owner);
      if (before.fresh()) {
        return new Opened(null, before); // nothing to compact, and no reason to begin a store here
      }
      lock = disk.lock(Names.LOCK);
      if (lock == null) {
        return new Locked();
      }
      Recovered found = Recovery.read(disk, owner);
      if (found.refusal() != null) {
        return new Refused(found.refusal());
      }
      try (Engine engine = new Engine(disk, owner, mostBytes, found)) {
        Engine.Compaction compaction = engine.compaction();
        compaction.run();
        engine.finish(compaction);
      }
      return new Opened(null, found);
    } catch (IOException | RuntimeException e) {
      return new Failed(String.valueOf(e));
    } finally {
      unlock(lock);
    }
  }

  private static void unlock(AutoCloseable lock) {
    try {
      if (lock != null) {
        lock.close();
      }
    } catch (Exception e) {
      return; // it goes with the process
    }
  }

  /**
   * Has entries written, in the order of appends. Each is there whole or not at all; of several in
   * one append the first may outlast a crash without the rest. For any thread, and never waits.
   */
  public Taken append(List<Entry> entries, Done done) {
    if (closing) {
      return Taken.CLOSED;
    }
    long bytes = 0;
    for (Entry entry : entries) {
      if (entry.type() > Entry.MOST_TYPE) {
        throw new IllegalArgumentException("type " + entry.type() + " is the store's own");
      }
      bytes += Format.length(entry);
    }
    if (queued.addAndGet(bytes) > limits.waitingBytes()
        || !queue.offer(new Waiting(List.copyOf(entries), bytes, done))) {
      queued.addAndGet(-bytes);
      return Taken.FULL;
    }
    if (closed()) {
      turnAway(); // it ended in this very moment
    }
    return Taken.QUEUED;
  }

  private void turnAway() {
    for (Waiting each = queue.poll(); each != null; each = queue.poll()) {
      each.done.done("the store is closed");
    }
  }

  /** Counts so far. */
  public Figures figures() {
    return figures;
  }

  private void write() {
    List<Waiting> batch = new ArrayList<>();
    while (true) {
      try {
        Waiting first = queue.poll(closing ? 0 : POLL_MS, TimeUnit.MILLISECONDS);
        if (first == null && closing && queue.isEmpty()) {
          break;
        }
        if (first != null) {
          collect(first, batch);
          put(batch);
        }
      } catch (InterruptedException e) {
        closing = true; // write what waits, and end
      }
      compact();
    }
    if (compacting != null) {
      join();
    }
    engine.close();
    unlock(lock);
    turnAway();
  }

  private void collect(Waiting first, List<Waiting> batch) {
    batch.clear();
    long bytes = 0;
    for (Waiting next = first; next != null; next = bytes < BATCH_BYTES ? queue.poll() : null) {
      batch.add(next);
      bytes += next.bytes;
    }
    queued.addAndGet(-bytes);
  }

  private void put(List<Waiting> batch) {
    long from = System.nanoTime();
    String fault = null;
    if (failing && from < retryAtNs && !closing) {
      fault = "the disk failed a moment ago";
    } else {
      List<Entry> entries = new ArrayList<>();
      batch.forEach(each -> entries.addAll(each.entries));
      try {
        engine.write(entries);
        pauseNs = FIRST_PAUSE_NS;
        if (failing) {
          failing = false;
          events.accept("the store writes again");
        }
      } catch (IOException | RuntimeException e) {
        fault = String.valueOf(e.getMessage());
        if (!failing) {
          failing = true;
          events.accept("the store can't write, and goes on trying: " + fault);
        }
        retryAtNs = System.nanoTime() + pauseNs;
        pauseNs = Math.min(2 * pauseNs, LONGEST_PAUSE_NS);
      }
    }
    Figures f = figures;
    figures =
        new Figures(
            f.appends + (fault == null ? batch.size() : 0),
            f.syncs + (fault == null ? 1 : 0),
            f.failures + (fault == null ? 0 : batch.size()),
            f.compactions,
            engine.bytes(),
            fault == null ? Math.max(f.longestSyncNs, System.nanoTime() - from) : f.longestSyncNs);
    for (Waiting each : batch) {
      each.done.done(fault);
    }
  }

  /** Starts a compaction where one is due, and takes in one that has run. */
  private void compact() {
    if (compacted != null) {
      join();
    }
    if (compacting != null
        || closing
        || !engine.wantsCompaction()
        || System.nanoTime() < compactAtNs) {
      return;
    }
    try {
      Engine.Compaction next = engine.compaction();
      compacting = new Thread(() -> run(next), "store compaction");
      compacting.setDaemon(true);
      compacting.start();
    } catch (IOException e) {
      failed(e);
    }
  }

  private void run(Engine.Compaction next) {
    try {
      next.run();
      compacted =
          () -> {
            try {
              engine.finish(next);
              Figures f = figures;
              figures =
                  new Figures(
                      f.appends,
                      f.syncs,
                      f.failures,
                      f.compactions + 1,
                      engine.bytes(),
                      f.longestSyncNs);
            } catch (IOException e) {
              failed(e); // files that are left over go at the next start
            }
          };
    } catch (IOException | RuntimeException e) {
      compacted =
          () -> {
            engine.abandon(next);
            failed(e);
          };
    }
  }

  private void failed(Exception e) {
    compactAtNs = System.nanoTime() + COMPACT_AGAIN_NS;
    events.accept("the store could not be compacted, and is tried again: " + e.getMessage());
  }

  private void join() {
    try {
      compacting.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    compacting = null;
    Runnable ended = compacted;
    compacted = null;
    if (ended != null) {
      ended.run();
    }
  }

  /** Whether the writer has ended; until then it holds the lock. */
  public boolean closed() {
    return !writer.isAlive();
  }

  /**
   * Takes nothing more; what waits is written, then the lock is given up. Does not wait for that.
   */
  public void end() {
    closing = true;
  }

  /**
   * Ends, and waits for it so long at the most (ms); true once all is written and the lock is free.
   */
  public boolean close(long mostMs) {
    end();
    try {
      writer.join(Math.max(1, mostMs));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return closed();
  }

  @Override
  public void close() {
    close(5_000);
  }
}
