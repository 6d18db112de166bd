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
import rosecleat.store.AppendResult;
import rosecleat.store.FileSystemDirectory;
import rosecleat.store.OpenResult;
import rosecleat.store.RecordStore;
import rosecleat.store.RecoveryReport;
import rosecleat.store.StateMachine;
import rosecleat.store.StateMachineFactory;
import rosecleat.store.StoredRecord;

/**
 * Compares the store with a plain write and sync per record, in the same folder and run. Measures
 * the appends per second and their latency by the number in flight, how long the appending thread
 * is blocked, and how long the recovery of 100 MB takes.
 */
public final class StoreSpeed {
  private static final int RECORD_BYTES = 200;
  private static final long RUN_NS = 3_000_000_000L;
  private static final RecordStore.Limits LIMITS =
      new RecordStore.Limits(1L << 30, 65_536, 64 << 20);

  /** A state machine that only counts the records. */
  private static final class Counting implements StateMachineFactory, StateMachine {
    @Override
    public int maxVersion(int type) {
      return 1;
    }

    @Override
    public StateMachine newStateMachine() {
      return new Counting();
    }

    @Override
    public void apply(StoredRecord record) {}

    @Override
    public void writeSnapshot(Consumer<StoredRecord> output) {
      // The state machine has no state to write.
    }
  }

  private StoreSpeed() {}

  /** Argument: a folder to work in. */
  public static void main(String[] args) throws Exception {
    Path work = Files.createDirectories(Path.of(args[0]));
    System.out.println(
        "| way | in flight | appends/s | to plain | p50 us | p99 us | syncs per append | held up"
            + " p99.9 us | held up longest us |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    plain(work.resolve("plain"), false);
    double base = plain(work.resolve("plain"), true);
    for (int inFlight : new int[] {1, 8, 64, 1024}) {
      store(work.resolve("speed"), inFlight, base, false);
      store(work.resolve("speed"), inFlight, base, true);
    }
    for (int tenants : new int[] {100, 1_000}) {
      StateSaveSpeed.print(work.resolve("save"), tenants);
    }
    recover(work.resolve("recover"));
    System.exit(0);
  }

  private static double plain(Path file, boolean printed) throws IOException {
    Histogram latency = new Histogram(60_000_000L, 3);
    long count = 0;
    try (FileChannel channel =
        FileChannel.open(
            file,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      long begin = System.nanoTime();
      for (long at = begin; at - begin < RUN_NS; count++) {
        channel.write(ByteBuffer.allocate(RECORD_BYTES));
        channel.force(false);
        long now = System.nanoTime();
        latency.recordValue((now - at) / 1000);
        at = now;
      }
    }
    double perS = count * 1e9 / RUN_NS;
    if (printed) {
      System.out.printf(
          Locale.ROOT,
          "| plain write and sync | 1 | %.0f | 1.0 | %d | %d | 1.000 | %d | %d |%n",
          perS,
          latency.getValueAtPercentile(50),
          latency.getValueAtPercentile(99),
          latency.getValueAtPercentile(99.9),
          latency.getMaxValue());
    }
    return perS;
  }

  private static void store(Path folder, int inFlight, double plainPerS, boolean printed)
      throws Exception {
    wipe(folder);
    RecordStore store = open(folder).store();
    Semaphore permits = new Semaphore(inFlight);
    Histogram latency = new Histogram(60_000_000_000L, 3);
    Histogram blocked = new Histogram(60_000_000_000L, 3);
    StoredRecord record = new StoredRecord(1, 1, new byte[RECORD_BYTES]);
    long startNs = System.nanoTime();
    while (System.nanoTime() - startNs < RUN_NS) {
      permits.acquire();
      long appendNs = System.nanoTime();
      AppendResult result =
          store.append(
              List.of(record),
              failure -> {
                latency.recordValue((System.nanoTime() - appendNs) / 1000);
                permits.release();
              });
      blocked.recordValue(System.nanoTime() - appendNs);
      if (result != AppendResult.QUEUED) {
        throw new IOException("not queued: " + result);
      }
    }
    permits.acquire(inFlight);
    RecordStore.Metrics metrics = store.metrics();
    store.close();
    if (printed) {
      printStore(inFlight, plainPerS, metrics, latency, blocked);
    }
  }

  private static void printStore(
      int inFlight,
      double plainPerS,
      RecordStore.Metrics metrics,
      Histogram latency,
      Histogram blocked) {
    double perS = metrics.appends() * 1e9 / RUN_NS;
    System.out.printf(
        Locale.ROOT,
        "| store | %d | %.0f | %.1f | %d | %d | %.3f | %.1f | %.0f |%n",
        inFlight,
        perS,
        perS / plainPerS,
        latency.getValueAtPercentile(50),
        latency.getValueAtPercentile(99),
        (double) metrics.syncs() / metrics.appends(),
        blocked.getValueAtPercentile(99.9) / 1e3,
        blocked.getMaxValue() / 1e3);
  }

  private static OpenResult.Opened open(Path folder) throws IOException {
    OpenResult opening =
        RecordStore.open(
            FileSystemDirectory.openOrCreate(folder), new Counting(), LIMITS, System.err::println);
    if (opening instanceof OpenResult.Opened opened) {
      return opened;
    }
    throw new IOException(opening.toString());
  }

  private static void recover(Path folder) throws Exception {
    wipe(folder);
    RecordStore store = open(folder).store();
    byte[] payload = new byte[1_000];
    for (int i = 0; i < 100_000; i++) {
      while (store.append(List.of(new StoredRecord(1, 1, payload)), failure -> {})
          != AppendResult.QUEUED) {
        Thread.sleep(1);
      }
    }
    store.close(60_000);
    for (int i = 0; i < 3; i++) {
      long from = System.nanoTime();
      RecoveryReport found =
          RecordStore.inspect(FileSystemDirectory.openExisting(folder), new Counting());
      System.out.printf(
          Locale.ROOT,
          "%nrecovery %d of %d MB, %d records: %.0f ms%n",
          i + 1,
          found.bytes() >> 20,
          found.records(),
          (System.nanoTime() - from) / 1e6);
    }
    wipe(folder);
  }

  static void wipe(Path folder) throws IOException {
    if (Files.exists(folder)) {
      try (Stream<Path> all = Files.list(folder)) {
        all.forEach(
            path -> {
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
