package rosecleat.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import rosecleat.config.NodeConfig;
import rosecleat.config.NodeConfigReader;
import rosecleat.core.Counters;
import rosecleat.facts.SettingsDigests;
import rosecleat.fakes.TestSite;
import rosecleat.log.Log;
import rosecleat.policy.ClassAndTenantNames;
import rosecleat.policy.PolicyEngine;
import rosecleat.policy.PolicyEvent;
import rosecleat.state.StateStore;
import rosecleat.state.StateStoreOpener;
import rosecleat.store.AppendResult;
import rosecleat.store.FileSystemDirectory;
import rosecleat.store.OpenResult;
import rosecleat.store.RecordStore;
import rosecleat.store.RecoveryReport;
import rosecleat.store.StateMachine;
import rosecleat.store.StateMachineFactory;
import rosecleat.store.StoredRecord;

/**
 * The store against a plain write and sync for each record, on the same folder in one run: appends
 * a second and their latency by how many are in flight; how long the appending thread is held up;
 * and how long 100 MB take to recover.
 */
public final class StoreSpeed {
  private static final int BYTES = 200;
  private static final long RUN_NS = 3_000_000_000L;
  private static final RecordStore.Limits LIMITS =
      new RecordStore.Limits(1L << 30, 65_536, 64 << 20);

  /** Counts what it is given, keeps all. */
  private static final class Counting implements StateMachineFactory, StateMachine {
    private long records;

    @Override
    public int maxVersion(int type) {
      return 1;
    }

    @Override
    public StateMachine newStateMachine() {
      return new Counting();
    }

    @Override
    public void apply(StoredRecord record) {
      records++;
    }

    @Override
    public void writeSnapshot(Consumer<StoredRecord> output) {
      return; // a compaction leaves nothing
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
    save(work.resolve("save"), 100);
    save(work.resolve("save"), 1_000);
    recover(work.resolve("recover"));
    System.exit(0);
  }

  private static double plain(Path file, boolean told) throws IOException {
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
        channel.write(ByteBuffer.allocate(BYTES));
        channel.force(false);
        long now = System.nanoTime();
        latency.recordValue((now - at) / 1000);
        at = now;
      }
    }
    double perS = count * 1e9 / RUN_NS;
    if (told) {
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

  private static void store(Path folder, int inFlight, double base, boolean told) throws Exception {
    wipe(folder);
    RecordStore store = open(folder).store();
    Semaphore places = new Semaphore(inFlight);
    Histogram latency = new Histogram(60_000_000_000L, 3);
    Histogram held = new Histogram(60_000_000_000L, 3);
    byte[] payload = new byte[BYTES];
    long[] count = new long[1];
    long begin = System.nanoTime();
    while (System.nanoTime() - begin < RUN_NS) {
      places.acquire();
      long from = System.nanoTime();
      AppendResult taken =
          store.append(
              List.of(new StoredRecord(1, 1, payload)),
              failure -> {
                latency.recordValue((System.nanoTime() - from) / 1000);
                count[0] += failure.isEmpty() ? 1 : 0;
                places.release();
              });
      held.recordValue(System.nanoTime() - from);
      if (taken != AppendResult.QUEUED) {
        throw new IOException("not taken: " + taken);
      }
    }
    places.acquire(inFlight);
    RecordStore.Metrics figures = store.metrics();
    store.close();
    if (told) {
      double perS = count[0] * 1e9 / RUN_NS;
      System.out.printf(
          Locale.ROOT,
          "| store | %d | %.0f | %.1f | %d | %d | %.3f | %.1f | %.0f |%n",
          inFlight,
          perS,
          perS / base,
          latency.getValueAtPercentile(50),
          latency.getValueAtPercentile(99),
          (double) figures.syncs() / figures.appends(),
          held.getValueAtPercentile(99.9) / 1e3,
          held.getMaxValue() / 1e3);
    }
  }

  /**
   * How long a node's loop is held up by a look at what it learnt, of which all has moved: the
   * dearest there is.
   */
  private static void save(Path folder, int tenants) throws Exception {
    wipe(folder);
    StringBuilder parties = new StringBuilder();
    List<String> names = new ArrayList<>();
    Map<String, String> digests = new HashMap<>();
    for (int t = 0; t < tenants; t++) {
      names.add("team" + t);
      digests.put("team" + t, "0123456789abcdef");
      parties
          .append(t == 0 ? "" : ",")
          .append("{\"name\":\"team")
          .append(t)
          .append("\",\"quota-per-s\":5}");
    }
    NodeConfig config =
        NodeConfigReader.parse(
            TestSite.config(1, 0, 0, 2_000, 500)
                .source()
                .toString()
                .replaceAll("\"parties\":\\[.*?]", "\"parties\":[" + parties + "]"),
            Map.of());
    PolicyEngine decisions = new PolicyEngine(config.settings().policy(), List.of(), 1);
    long[] now = {System.currentTimeMillis() * 1000};
    decisions.start(now[0], false);
    SettingsDigests terms =
        new SettingsDigests("n1", "s", Map.of("balance-check", "c"), digests, Map.of());
    Log log = new Log(System.err);
    StateStoreOpener opener = new StateStoreOpener(folder, 64 << 20, log);
    Counters counters = new Counters();
    ConcurrentLinkedQueue<Runnable> loop = new ConcurrentLinkedQueue<>();
    StateStore memory =
        new StateStore(
            new StateStore.Settings(1, 600_000_000),
            opener,
            new StateStore.Host(
                () -> terms,
                () -> new ClassAndTenantNames(config.settings().classNames(), names),
                decisions,
                () -> now[0],
                loop::add),
            counters,
            log);
    Histogram held = new Histogram(60_000_000_000L, 3);
    for (int i = 1; i <= 3_000; i++) {
      now[0] += 100_000_000; // so long that all is written again
      decisions.handle(
          now[0],
          new PolicyEvent.Arrived(i, 0, i % tenants, 0, 1_000_000, 8, 0.5, false, false, 1, 0, 0));
      while (decisions.nextCommand() != null) {
        continue;
      }
      long from = System.nanoTime();
      memory.saveIfDue(now[0]);
      for (Runnable task = loop.poll(); task != null; task = loop.poll()) {
        task.run();
      }
      if (i > 500) {
        held.recordValue(System.nanoTime() - from);
      }
      Thread.sleep(1);
    }
    memory.close(5_000);
    System.out.printf(
        Locale.ROOT,
        "%na look that writes %d tenants holds the loop up %.0f us at p50, %.0f at p99.9 (%d"
            + " saves)%n",
        tenants,
        held.getValueAtPercentile(50) / 1e3,
        held.getValueAtPercentile(99.9) / 1e3,
        counters.get("state.saves"));
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

  private static void wipe(Path folder) throws IOException {
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
