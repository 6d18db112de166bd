package rosecleat.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the recovery of truncated, corrupt, missing, outdated and newer-format files. */
class RecoveryTest {
  private static final long MAX_BYTES = 1 << 20;
  private final TextLines factory = new TextLines();

  private StorageEngine engine(FaultyDirectory disk) throws IOException {
    return new StorageEngine(disk, factory, MAX_BYTES, Recovery.run(disk, factory));
  }

  /**
   * Returns a directory with ten batches that was compacted after the third and the sixth; the log
   * contains the last four.
   */
  private FaultyDirectory populatedDirectory() throws IOException {
    FaultyDirectory disk = new FaultyDirectory(1);
    try (StorageEngine engine = engine(disk)) {
      for (int i = 0; i < 10; i++) {
        engine.write(List.of(TextLines.record("line " + i)));
        if (i == 2 || i == 5) {
          Compaction compaction = engine.prepareCompaction();
          compaction.run();
          engine.install(compaction);
        }
      }
    }
    return disk;
  }

  private static List<String> lines(int count) {
    return IntStream.range(0, count).mapToObj(i -> "line " + i).toList();
  }

  private static String lastFileWithPrefix(FaultyDirectory disk, String prefix) {
    return disk.list().stream()
        .filter(name -> name.startsWith(prefix))
        .reduce((a, b) -> b)
        .orElseThrow();
  }

  /**
   * Asserts that recovery yields only complete batches, counted from the first, and that a store
   * can then be opened in the directory, appended to and recovered again. Returns the recovered
   * lines.
   */
  private List<String> assertRecoversPrefixAndContinues(FaultyDirectory disk, String what)
      throws IOException {
    RecoveryReport found = Recovery.run(disk, factory);
    assertEquals(Optional.empty(), found.unsupportedFormat(), what);
    List<String> recovered = List.copyOf(TextLines.of(found));
    assertEquals(lines(recovered.size()), recovered, what);
    try (StorageEngine engine = new StorageEngine(disk, factory, MAX_BYTES, found)) {
      engine.write(List.of(TextLines.record("more")));
    }
    List<String> expected = new ArrayList<>(recovered);
    expected.add("more");
    RecoveryReport again = Recovery.run(disk, factory);
    assertEquals(expected, TextLines.of(again), what);
    assertFalse(again.hasCorruption(), what + ": " + again.issues());
    return recovered;
  }

  @Test
  void fileTruncatedAtAnyLengthYieldsOnlyCompleteBatches() throws IOException {
    FaultyDirectory intact = populatedDirectory();
    assertEquals(lines(10), TextLines.of(Recovery.run(intact, factory)));
    for (String name : intact.list()) {
      for (int length = 0; length < intact.bytes(name).length; length++) {
        FaultyDirectory truncated = intact.copy();
        truncated.put(name, Arrays.copyOf(intact.bytes(name), length));
        List<String> recovered =
            assertRecoversPrefixAndContinues(truncated, name + " truncated to " + length);
        if (name.startsWith("log-")) { // the batches in the snapshot are recovered in any case
          assertTrue(recovered.size() >= 6, name + " truncated to " + length + ": " + recovered);
        }
      }
    }
  }

  @Test
  void everyFlippedBitIsDetected() throws IOException {
    FaultyDirectory intact = populatedDirectory();
    int corruptions = 0;
    int bits = 0;
    for (String name : intact.list()) {
      if (name.equals(FileNames.snapshot(1))) {
        continue; // the older snapshot is not read while the newer one is intact
      }
      for (int bit = 0; bit < 8 * intact.bytes(name).length; bit++) {
        FaultyDirectory flipped = intact.copy();
        flipped.bytes(name)[bit / 8] ^= (byte) (1 << bit % 8);
        RecoveryReport recovered = Recovery.run(flipped, factory);
        assertTrue(
            recovered.unsupportedFormat().isPresent() || !recovered.issues().isEmpty(),
            name + " bit " + bit + " was not detected");
        corruptions += recovered.hasCorruption() ? 1 : 0;
        bits++;
        assertRecoversPrefixAndContinues(flipped, name + " bit " + bit);
      }
    }
    assertTrue(
        corruptions > bits * 3 / 4,
        "only flips in the end record or in an unreferenced header may look like a torn write: "
            + corruptions
            + " of "
            + bits);
  }

  @Test
  void corruptionIsDistinguishedFromTornWrite() throws IOException {
    FaultyDirectory disk = populatedDirectory();
    String log = lastFileWithPrefix(disk, "log-");
    byte[] bytes = disk.bytes(log);
    bytes[FileHeader.BYTES + 20] ^= 1; // the first record; later ones prove that it was durable
    RecoveryReport found = Recovery.run(disk, factory);
    assertTrue(found.hasCorruption());
    assertEquals(lines(6), TextLines.of(found), "only the snapshot is recovered");
    assertEquals(FileHeader.BYTES, found.issues().get(0).offset());
    assertRecoversPrefixAndContinues(disk, "damage");
    assertNotNull(lastFileWithPrefix(disk, "damaged-1-log-"), "the corrupt log is quarantined");
  }

  @Test
  void corruptSnapshotFallsBackToOlderSnapshot() throws IOException {
    FaultyDirectory disk = populatedDirectory();
    String snapshot = FileNames.snapshot(FileNames.snapshotNumbers(disk.list()).get(1));
    disk.bytes(snapshot)[FileHeader.BYTES + 3] ^= 4;
    assertEquals(lines(3), TextLines.of(Recovery.run(disk, factory)));
    assertRecoversPrefixAndContinues(disk, "older snapshot");
  }

  @Test
  void filesOfNewerFormatAreNotChanged() throws IOException {
    for (String kind : List.of("MANIFEST", "snapshot-", "log-")) {
      FaultyDirectory disk = populatedDirectory();
      String name = lastFileWithPrefix(disk, kind);
      byte[] bytes = disk.bytes(name);
      FileHeader old = FileHeader.decode(ByteBuffer.wrap(bytes)).orElseThrow();
      new FileHeader(old.fileType(), 2, old.number(), old.previousNumber(), old.previousBytes())
          .encode()
          .get(bytes, 0, FileHeader.BYTES);
      assertIncompatible(disk, name);
    }
    FaultyDirectory disk = populatedDirectory();
    factory.supportedVersion = 2;
    try (StorageEngine engine = engine(disk)) {
      engine.write(List.of(new StoredRecord(TextLines.TYPE, 2, new byte[] {1})));
    }
    factory.supportedVersion = 1;
    assertIncompatible(disk, "a record");
  }

  private void assertIncompatible(FaultyDirectory disk, String what) throws IOException {
    Map<String, byte[]> before = disk.copy().all();
    OpenResult opening =
        RecordStore.open(disk, factory, new RecordStore.Limits(MAX_BYTES, 10, 1000), line -> {});
    assertTrue(opening instanceof OpenResult.Incompatible, what + ": " + opening);
    assertEquals(before.keySet(), disk.list());
    before.forEach(
        (name, bytes) ->
            assertTrue(Arrays.equals(bytes, disk.bytes(name)), what + " changed " + name));
  }

  @Test
  void noAcknowledgedRecordIsLostWhenPowerFailsAtAnyCall() throws IOException {
    for (int powerLossAt = 0; powerLossAt < 90; powerLossAt++) {
      for (int seed = 0; seed < 8; seed++) {
        FaultyDirectory disk = new FaultyDirectory(100L * powerLossAt + seed);
        disk.powerLossAt = powerLossAt;
        int acknowledged = 0;
        try (StorageEngine engine = engine(disk)) {
          for (int i = 0; i < 10; i++) {
            engine.write(List.of(TextLines.record("line " + i)));
            acknowledged = i + 1;
            if (i == 2 || i == 5) {
              Compaction compaction = engine.prepareCompaction();
              compaction.run();
              engine.install(compaction);
            }
          }
        } catch (FaultyDirectory.PowerLoss e) {
          assertTrue(powerLossAt < 90);
        }
        disk.restart();
        RecoveryReport found = Recovery.run(disk, factory);
        assertFalse(
            found.hasCorruption(), "call " + powerLossAt + " seed " + seed + ": " + found.issues());
        assertTrue(
            assertRecoversPrefixAndContinues(disk, "call " + powerLossAt + " seed " + seed).size()
                >= acknowledged,
            "an acknowledged record was lost");
      }
    }
  }
}
