package rosecleat.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import rosecleat.store.Entry;
import rosecleat.store.Fold;
import rosecleat.store.Folder;
import rosecleat.store.Owner;
import rosecleat.store.Recovered;
import rosecleat.store.Store;

/**
 * The store against a plain write and sync for each record, on the same folder in one run: appends a second and their
 * latency by how many are in flight; how long the appending thread is held up; and how long 100 MB take to recover.
 */
public final class StoreSpeed {
  private static final int BYTES = 200;
  private static final long RUN_NS = 3_000_000_000L;
  private static final Store.Limits LIMITS = new Store.Limits(1L << 30, 65_536, 64 << 20);

  /** Counts what it is given, keeps all. */
  private static final class Counting implements Owner, Fold {
    private long entries;

    @Override public int reads(int type) {
      return 1;
    }

    @Override public Fold fold() {
      return new Counting();
    }

    @Override public void add(Entry entry) {
      entries++;
    }

    @Override public void forEach(Consumer<Entry> taker) {
      return; // a compaction leaves nothing
    }
  }

  private StoreSpeed() { }

  /** Argument: a folder to work in. */
  public static void main(String[] args) throws Exception {
    Path work = Files.createDirectories(Path.of(args[0]));
    System.out.println("| way | in flight | appends/s | to plain | p50 us | p99 us | syncs per append | held up p99.9 us | held up longest us |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    plain(work.resolve("plain"), false);
    double base = plain(work.resolve("plain"), true);
    for (int inFlight : new int[] {1, 8, 64, 1024}) {
      store(work.resolve("speed"), inFlight, base, false);
      store(work.resolve("speed"), inFlight, base, true);
    }
    recover(work.resolve("recover"));
    System.exit(0);
  }

  private static double plain(Path file, boolean told) throws IOException {
    Histogram latency = new Histogram(60_000_000L, 3);
    long count = 0;
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING)) {
      long begin = System.nanoTime();
      for (long at = begin; at - begin < RUN_NS; count++) {
        channel.write(ByteBuffer.allocate(BYTES));
        channel.force(false);
        long now = System.nanoTime();
        latency.recordValue((now - at) / 1000);
        at = now;
      }
    }
    double perS = count * 1e9 / RUN_NS;
    if (told) {
      System.out.printf(Locale.ROOT, "| plain write and sync | 1 | %.0f | 1.0 | %d | %d | 1.000 | %d | %d |%n", perS,
          latency.getValueAtPercentile(50), latency.getValueAtPercentile(99), latency.getValueAtPercentile(99.9),
          latency.getMaxValue());
    }
    return perS;
  }

  private static void store(Path folder, int inFlight, double base, boolean told) throws Exception {
    wipe(folder);
    Store store = open(folder).store();
    Semaphore places = new Semaphore(inFlight);
    Histogram latency = new Histogram(60_000_000_000L, 3);
    Histogram held = new Histogram(60_000_000_000L, 3);
    byte[] payload = new byte[BYTES];
    long[] count = new long[1];
    long begin = System.nanoTime();
    while (System.nanoTime() - begin < RUN_NS) {
      places.acquire();
      long from = System.nanoTime();
      Store.Taken taken = store.append(List.of(new Entry(1, 1, payload)), fault -> {
        latency.recordValue((System.nanoTime() - from) / 1000);
        count[0] += fault == null ? 1 : 0;
        places.release();
      });
      held.recordValue(System.nanoTime() - from);
      if (taken != Store.Taken.QUEUED) {
        throw new IOException("not taken: " + taken);
      }
    }
    places.acquire(inFlight);
    Store.Figures figures = store.figures();
    store.close();
    if (told) {
      double perS = count[0] * 1e9 / RUN_NS;
      System.out.printf(Locale.ROOT, "| store | %d | %.0f | %.1f | %d | %d | %.3f | %.1f | %.0f |%n", inFlight, perS, perS / base,
          latency.getValueAtPercentile(50), latency.getValueAtPercentile(99), (double) figures.syncs() / figures.appends(),
          held.getValueAtPercentile(99.9) / 1e3, held.getMaxValue() / 1e3);
    }
  }

  private static Store.Opened open(Path folder) throws IOException {
    Store.Opening opening = Store.open(Folder.made(folder), new Counting(), LIMITS, System.err::println);
    if (opening instanceof Store.Opened opened) {
      return opened;
    }
    throw new IOException(opening.toString());
  }

  private static void recover(Path folder) throws Exception {
    wipe(folder);
    Store store = open(folder).store();
    byte[] payload = new byte[1_000];
    for (int i = 0; i < 100_000; i++) {
      while (store.append(List.of(new Entry(1, 1, payload)), fault -> { }) != Store.Taken.QUEUED) {
        Thread.sleep(1);
      }
    }
    store.close(60_000);
    for (int i = 0; i < 3; i++) {
      long from = System.nanoTime();
      Recovered found = Store.look(Folder.of(folder), new Counting());
      System.out.printf(Locale.ROOT, "%nrecovery %d of %d MB, %d records: %.0f ms%n", i + 1, found.bytes() >> 20,
          found.entries(), (System.nanoTime() - from) / 1e6);
    }
    wipe(folder);
  }

  private static void wipe(Path folder) throws IOException {
    if (Files.exists(folder)) {
      try (Stream<Path> all = Files.list(folder)) {
        all.forEach(path -> {
          try {
            Files.delete(path);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
      }
    }
  }
}
