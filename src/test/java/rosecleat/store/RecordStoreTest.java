package rosecleat.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the store with its writer thread, on a file system directory and on a directory that
 * injects faults, and kills processes that are writing to a store.
 */
class RecordStoreTest {
  private static final RecordStore.Limits LIMITS = new RecordStore.Limits(2 << 20, 100, 100_000);
  private final TextLines factory = new TextLines();
  private final List<String> events = new CopyOnWriteArrayList<>();

  @TempDir Path folder;

  private RecordStore open(Directory disk) {
    return assertInstanceOf(
            OpenResult.Opened.class, RecordStore.open(disk, factory, LIMITS, events::add))
        .store();
  }

  /** Appends a line and waits for the outcome; returns the failure message, empty on success. */
  private static Optional<String> append(RecordStore store, String line) throws Exception {
    CompletableFuture<Optional<AppendFailure>> done = new CompletableFuture<>();
    assertEquals(
        AppendResult.QUEUED, store.append(List.of(TextLines.record(line)), done::complete));
    return done.get(5, TimeUnit.SECONDS).map(AppendFailure::message);
  }

  @Test
  void secondStoreOnSameDirectoryIsLockedOut() throws Exception {
    try (RecordStore first = open(FileSystemDirectory.openOrCreate(folder))) {
      assertEquals(Optional.empty(), append(first, "one"));
      assertInstanceOf(
          OpenResult.Locked.class,
          RecordStore.open(FileSystemDirectory.openOrCreate(folder), factory, LIMITS, events::add));
      assertEquals(
          Optional.empty(),
          append(first, "two"),
          "the failed attempt leaves the first store's lock in place");
      assertEquals(
          List.of("one", "two"),
          TextLines.of(RecordStore.inspect(FileSystemDirectory.openExisting(folder), factory)));
    }
    try (RecordStore second = open(FileSystemDirectory.openOrCreate(folder))) {
      assertEquals(Optional.empty(), append(second, "three"));
    }
    assertEquals(
        List.of("one", "two", "three"),
        TextLines.of(RecordStore.inspect(FileSystemDirectory.openExisting(folder), factory)));
  }

  @Test
  void fullQueueRejectsAppendsAndQueuedAppendsShareOneSync() throws Exception {
    FaultyDirectory slow = new FaultyDirectory(1);
    CountDownLatch gate = new CountDownLatch(1);
    try (RecordStore store = open(slow)) {
      store.append(
          List.of(TextLines.record("first")),
          failure -> {
            try {
              gate.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      while (store.metrics().appends() < 1) {
        Thread.sleep(1);
      }
      AtomicInteger done = new AtomicInteger();
      int queued = 0;
      while (store.append(List.of(TextLines.record("more")), failure -> done.incrementAndGet())
          == AppendResult.QUEUED) {
        queued++;
      }
      assertEquals(100, queued);
      gate.countDown();
      while (done.get() < queued) {
        Thread.sleep(1);
      }
      assertEquals(2, store.metrics().syncs(), "all queued appends were written with one sync");
      assertEquals(
          AppendResult.FULL,
          store.append(
              List.of(new StoredRecord(TextLines.TYPE, 1, new byte[200_000])), failure -> {}));
    }
  }

  @Test
  void fullDiskFailsQueuedAppendsAndStoreRecoversOnceSpaceIsFree() throws Exception {
    FaultyDirectory disk = new FaultyDirectory(1);
    try (RecordStore store = open(disk)) {
      assertEquals(Optional.empty(), append(store, "kept"));
      disk.freeBytes = 10;
      assertTrue(append(store, "lost").orElseThrow().contains("ENOSPC"));
      disk.freeBytes = FaultyDirectory.UNLIMITED;
      Optional<String> fault = append(store, "again");
      while (fault.isPresent()) { // writing is retried after a delay
        Thread.sleep(10);
        fault = append(store, "again");
      }
      assertEquals(List.of("kept", "again"), TextLines.of(RecordStore.inspect(disk, factory)));
      assertEquals(
          2, events.size(), "one event for the failure and one for the recovery: " + events);
    }
  }

  @Test
  void compactionKeepsFilesWithinSizeLimit() throws Exception {
    try (RecordStore store = open(FileSystemDirectory.openOrCreate(folder))) {
      String line = "x".repeat(1_000);
      for (int i = 0; i < 20_000; i += 50) {
        List<StoredRecord> records = new ArrayList<>();
        for (int j = 0; j < 49; j++) {
          records.add(TextLines.record(line + (i + j)));
        }
        records.add(TextLines.record("=5"));
        CompletableFuture<Optional<AppendFailure>> done = new CompletableFuture<>();
        store.append(records, done::complete);
        assertEquals(Optional.empty(), done.get(5, TimeUnit.SECONDS));
        if (store.metrics().bytes() > LIMITS.maxBytes() * 3 / 4) {
          Thread.sleep(50); // a compaction is running
        }
      }
      assertTrue(store.metrics().compactions() > 5, store.metrics().toString());
      long size = 0;
      for (File file : folder.toFile().listFiles()) {
        size += file.length();
      }
      assertTrue(size <= LIMITS.maxBytes(), size + " bytes");
    }
    assertEquals(
        lengthsOfLines(19_944, 5),
        TextLines.of(RecordStore.inspect(FileSystemDirectory.openExisting(folder), factory))
            .stream()
            .map(String::length)
            .toList());
  }

  private static List<Integer> lengthsOfLines(int first, int count) {
    List<Integer> lengths = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      lengths.add(1_000 + String.valueOf(first + i).length());
    }
    return lengths;
  }

  @Test
  void openingUnusableDirectoryFailsAndReleasesLock() throws Exception {
    Path file = Files.createFile(folder.resolve("file"));
    assertTrue(failureOfOpening(file).contains("file"));
    FaultyDirectory broken = new FaultyDirectory(1);
    broken.failureRate = 1;
    assertInstanceOf(
        OpenResult.Failed.class, RecordStore.open(broken, factory, LIMITS, events::add));
    broken.failureRate = 0;
    open(broken).close(); // the lock was released
  }

  private static String failureOfOpening(Path path) {
    try {
      FileSystemDirectory.openOrCreate(path);
      return "";
    } catch (IOException e) {
      return e.toString();
    }
  }

  /**
   * Writes numbers to a directory and prints each acknowledged one, until the process is killed.
   */
  public static void main(String[] args) throws Exception {
    OpenResult result =
        RecordStore.open(
            FileSystemDirectory.openOrCreate(Path.of(args[0])),
            new TextLines(),
            new RecordStore.Limits(1 << 18, 64, 1 << 20),
            line -> {});
    if (!(result instanceof OpenResult.Opened opened)) {
      System.out.println(result);
      return;
    }
    List<String> lines = TextLines.of(opened.recovered());
    long next = lines.isEmpty() ? 0 : Long.parseLong(lines.get(lines.size() - 1).trim()) + 1;
    System.out.println(
        "found "
            + (next - 1)
            + (opened.recovered().hasCorruption()
                ? " damaged " + opened.recovered().issues()
                : ""));
    while (true) {
      long number = next++;
      CountDownLatch done = new CountDownLatch(1);
      opened
          .store()
          .append(
              List.of(
                  TextLines.record(number + " ".repeat((int) (number % 500))),
                  TextLines.record("=3")),
              failure -> {
                System.out.println(failure.isEmpty() ? "wrote " + number : "failed");
                done.countDown();
              });
      done.await();
    }
  }

  @Test
  void noAcknowledgedRecordIsLostWhenProcessesAreKilledHundredTimes() throws Exception {
    int concurrency = 4;
    ExecutorService pool = Executors.newFixedThreadPool(concurrency);
    List<Future<Integer>> futures = new ArrayList<>();
    for (int worker = 0; worker < concurrency; worker++) {
      Path directory = folder.resolve("process" + worker);
      int seed = worker;
      futures.add(pool.submit(() -> killRepeatedly(directory, 25, seed)));
    }
    int written = 0;
    for (Future<Integer> lastNumber : futures) {
      written += lastNumber.get(120, TimeUnit.SECONDS);
    }
    pool.shutdown();
    assertTrue(written > 1_000, "only " + written + " numbers were written");
  }

  /** Starts and kills a writing process several times; returns the last acknowledged number. */
  private static int killRepeatedly(Path directory, int times, int seed) throws Exception {
    Random random = new Random(seed);
    long acknowledged = -1;
    for (int i = 0; i < times; i++) {
      Process writer = startWriter(directory);
      try (BufferedReader output = writer.inputReader()) {
        assertNothingAcknowledgedIsLost(output.readLine(), i, acknowledged);
        acknowledged = readWritten(output, 1 + random.nextInt(60), acknowledged);
        writer
            .toHandle()
            .destroyForcibly(); // SIGKILL; the output that was printed before can still be read
        acknowledged = readRemaining(output, acknowledged);
      } finally {
        writer.destroyForcibly();
        assertFalse(writer.waitFor() == 0);
      }
    }
    return (int) acknowledged;
  }

  private static Process startWriter(Path directory) throws IOException {
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:TieredStopAtLevel=1",
            "-XX:+UseSerialGC",
            "-Xshare:auto",
            "-XX:-UsePerfData",
            "-cp",
            System.getProperty("java.class.path"),
            RecordStoreTest.class.getName(),
            directory.toString())
        .redirectError(ProcessBuilder.Redirect.INHERIT)
        .start();
  }

  private static void assertNothingAcknowledgedIsLost(String line, int start, long acknowledged) {
    assertTrue(line != null && line.matches("found -?[0-9]+"), "start " + start + ": " + line);
    long found = Long.parseLong(line.substring(6));
    assertTrue(
        found >= acknowledged, "start " + start + " found " + found + " after " + acknowledged);
  }

  private static long readWritten(BufferedReader output, int lines, long acknowledged)
      throws IOException {
    long last = acknowledged;
    for (int n = 0; n < lines; n++) {
      String line = output.readLine();
      assertTrue(line.startsWith("wrote "), line);
      last = Long.parseLong(line.substring(6));
    }
    return last;
  }

  private static long readRemaining(BufferedReader output, long acknowledged) throws IOException {
    long last = acknowledged;
    for (String line = output.readLine(); line != null; line = output.readLine()) {
      if (line.matches("wrote [0-9]+")) {
        last = Math.max(last, Long.parseLong(line.substring(6)));
      }
    }
    return last;
  }
}
