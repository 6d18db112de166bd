package rosecleat.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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
 * The store with its thread, on a real folder or on a disk that fails; and a process that is killed
 * while it writes.
 */
class StoreTest {
  private static final Store.Limits LIMITS = new Store.Limits(2 << 20, 100, 100_000);
  private final Texts owner = new Texts();
  private final List<String> events = new CopyOnWriteArrayList<>();

  @TempDir Path folder;

  private Store open(Disk disk) {
    return assertInstanceOf(Store.Opened.class, Store.open(disk, owner, LIMITS, events::add))
        .store();
  }

  /** Appends and waits; the fault, or null. */
  private static String append(Store store, String line) throws Exception {
    CompletableFuture<String> done = new CompletableFuture<>();
    assertEquals(Store.Taken.QUEUED, store.append(List.of(Texts.entry(line)), done::complete));
    return done.get(5, TimeUnit.SECONDS);
  }

  @Test
  void twoProcessesOnOneFolder() throws Exception {
    try (Store first = open(Folder.made(folder))) {
      assertEquals(null, append(first, "one"));
      assertInstanceOf(
          Store.Locked.class, Store.open(Folder.made(folder), owner, LIMITS, events::add));
      assertEquals(null, append(first, "two"), "the attempt took nothing from the one that has it");
      assertEquals(List.of("one", "two"), Texts.of(Store.look(Folder.of(folder), owner)));
    }
    try (Store second = open(Folder.made(folder))) {
      assertEquals(null, append(second, "three"));
    }
    assertEquals(List.of("one", "two", "three"), Texts.of(Store.look(Folder.of(folder), owner)));
  }

  @Test
  void aFullQueueIsAValueAndSyncsAreShared() throws Exception {
    FaultyDisk slow = new FaultyDisk(1);
    CountDownLatch gate = new CountDownLatch(1);
    try (Store store = open(slow)) {
      store.append(
          List.of(Texts.entry("first")),
          fault -> {
            try {
              gate.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      while (store.figures().appends() < 1) {
        Thread.sleep(1);
      }
      AtomicInteger done = new AtomicInteger();
      int queued = 0;
      while (store.append(List.of(Texts.entry("more")), fault -> done.incrementAndGet())
          == Store.Taken.QUEUED) {
        queued++;
      }
      assertEquals(100, queued);
      gate.countDown();
      while (done.get() < queued) {
        Thread.sleep(1);
      }
      assertEquals(2, store.figures().syncs(), "all that waited was written in one go");
      assertEquals(
          Store.Taken.FULL,
          store.append(List.of(new Entry(Texts.TYPE, 1, new byte[200_000])), fault -> {}));
    }
  }

  @Test
  void aFullDiskCostsWhatWaitsAndNoMore() throws Exception {
    FaultyDisk disk = new FaultyDisk(1);
    try (Store store = open(disk)) {
      assertEquals(null, append(store, "kept"));
      disk.room = 10;
      assertTrue(append(store, "lost").contains("ENOSPC"));
      disk.room = FaultyDisk.PLENTY;
      String fault = append(store, "again");
      while (fault != null) { // it is tried again after a pause
        Thread.sleep(10);
        fault = append(store, "again");
      }
      assertEquals(List.of("kept", "again"), Texts.of(Store.look(disk, owner)));
      assertEquals(2, events.size(), "one line when it fails, one when it writes again: " + events);
    }
  }

  @Test
  void sizeIsBoundedByCompaction() throws Exception {
    try (Store store = open(Folder.made(folder))) {
      String line = "x".repeat(1_000);
      for (int i = 0; i < 20_000; i += 50) {
        List<Entry> entries = new ArrayList<>();
        for (int j = 0; j < 49; j++) {
          entries.add(Texts.entry(line + (i + j)));
        }
        entries.add(Texts.entry("=5"));
        CompletableFuture<String> done = new CompletableFuture<>();
        store.append(entries, done::complete);
        String fault = done.get(5, TimeUnit.SECONDS);
        assertEquals(null, fault);
        if (store.figures().bytes() > LIMITS.mostBytes() * 3 / 4) {
          Thread.sleep(50); // the compaction is under way
        }
      }
      assertTrue(store.figures().compactions() > 5, store.figures().toString());
      long size = 0;
      for (File file : folder.toFile().listFiles()) {
        size += file.length();
      }
      assertTrue(size <= LIMITS.mostBytes(), size + " bytes");
    }
    assertEquals(
        line(19_944, 5),
        Texts.of(Store.look(Folder.of(folder), owner)).stream().map(String::length).toList());
  }

  private static List<Integer> line(int first, int count) {
    List<Integer> lengths = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      lengths.add(1_000 + String.valueOf(first + i).length());
    }
    return lengths;
  }

  @Test
  void aFolderThatCantBeUsedIsAValue() throws Exception {
    Path file = Files.createFile(folder.resolve("file"));
    assertTrue(assertFails(file).contains("file"));
    FaultyDisk broken = new FaultyDisk(1);
    broken.failing = 1;
    assertInstanceOf(Store.Failed.class, Store.open(broken, owner, LIMITS, events::add));
    broken.failing = 0;
    open(broken).close(); // the lock was given back
  }

  private static String assertFails(Path path) {
    try {
      Folder.made(path);
      return "";
    } catch (IOException e) {
      return e.toString();
    }
  }

  /** Writes numbers to a folder, and prints each that is on disk, until it is killed. */
  public static void main(String[] args) throws Exception {
    Store.Opening opening =
        Store.open(
            Folder.made(Path.of(args[0])),
            new Texts(),
            new Store.Limits(1 << 18, 64, 1 << 20),
            line -> {});
    if (!(opening instanceof Store.Opened opened)) {
      System.out.println(opening);
      return;
    }
    List<String> lines = Texts.of(opened.found());
    long next = lines.isEmpty() ? 0 : Long.parseLong(lines.get(lines.size() - 1).trim()) + 1;
    System.out.println(
        "found "
            + (next - 1)
            + (opened.found().damaged() ? " damaged " + opened.found().findings() : ""));
    while (true) {
      long number = next++;
      CountDownLatch done = new CountDownLatch(1);
      opened
          .store()
          .append(
              List.of(Texts.entry(number + " ".repeat((int) (number % 500))), Texts.entry("=3")),
              fault -> {
                System.out.println(fault == null ? "wrote " + number : "failed");
                done.countDown();
              });
      done.await();
    }
  }

  @Test
  void killedAHundredTimesWhileItWrites() throws Exception {
    int lanes = 4;
    ExecutorService pool = Executors.newFixedThreadPool(lanes);
    List<Future<Integer>> all = new ArrayList<>();
    for (int lane = 0; lane < lanes; lane++) {
      Path own = folder.resolve("lane" + lane);
      int seed = lane;
      all.add(pool.submit(() -> kills(own, 25, seed)));
    }
    int written = 0;
    for (Future<Integer> each : all) {
      written += each.get(120, TimeUnit.SECONDS);
    }
    pool.shutdown();
    assertTrue(written > 1_000, "only " + written + " written");
  }

  private static int kills(Path own, int times, int seed) throws Exception {
    java.util.Random random = new java.util.Random(seed);
    long acknowledged = -1;
    for (int i = 0; i < times; i++) {
      Process child =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-XX:TieredStopAtLevel=1",
                  "-XX:+UseSerialGC",
                  "-Xshare:auto",
                  "-XX:-UsePerfData",
                  "-cp",
                  System.getProperty("java.class.path"),
                  StoreTest.class.getName(),
                  own.toString())
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      try (java.io.BufferedReader out = child.inputReader()) {
        String first = out.readLine();
        assertTrue(first != null && first.matches("found -?[0-9]+"), "start " + i + ": " + first);
        long found = Long.parseLong(first.substring(6));
        assertTrue(
            found >= acknowledged, "start " + i + " found " + found + " after " + acknowledged);
        int lines = 1 + random.nextInt(60);
        for (int n = 0; n < lines; n++) {
          String line = out.readLine();
          assertTrue(line.startsWith("wrote "), line);
          acknowledged = Long.parseLong(line.substring(6));
        }
        child.toHandle().destroyForcibly(); // SIGKILL; what it printed can still be read
        for (String line = out.readLine(); line != null; line = out.readLine()) {
          if (line.matches("wrote [0-9]+")) {
            acknowledged = Math.max(acknowledged, Long.parseLong(line.substring(6)));
          }
        }
      } finally {
        child.destroyForcibly();
        assertFalse(child.waitFor() == 0);
      }
    }
    return (int) acknowledged;
  }
}
