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
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What a start makes of files that are cut, flipped, missing, old or new. */
class RecoveryTest {
  private static final long MOST = 1 << 20;
  private final Texts owner = new Texts();

  private Engine engine(FaultyDisk disk) throws IOException {
    return new Engine(disk, owner, MOST, Recovery.read(disk, owner));
  }

  /** Ten batches, a compaction after the fifth; the log that is open has the last four. */
  private FaultyDisk sample() throws IOException {
    FaultyDisk disk = new FaultyDisk(1);
    try (Engine engine = engine(disk)) {
      for (int i = 0; i < 10; i++) {
        engine.write(List.of(Texts.entry("line " + i)));
        if (i == 2 || i == 5) {
          Engine.Compaction c = engine.compaction();
          c.run();
          engine.finish(c);
        }
      }
    }
    return disk;
  }

  private static List<String> lines(int count) {
    return IntStream.range(0, count).mapToObj(i -> "line " + i).toList();
  }

  private static String only(FaultyDisk disk, String kind) {
    return disk.names().stream().filter(n -> n.startsWith(kind)).reduce((a, b) -> b).orElseThrow();
  }

  /**
   * What counts is whole batches from the start, and a start for writing then agrees and can go on.
   */
  private List<String> survives(FaultyDisk disk, String what) throws IOException {
    Recovered found = Recovery.read(disk, owner);
    assertEquals(null, found.refusal(), what);
    List<String> got = List.copyOf(Texts.of(found));
    assertEquals(lines(got.size()), got, what);
    try (Engine engine = new Engine(disk, owner, MOST, found)) {
      engine.write(List.of(Texts.entry("more")));
    }
    List<String> expected = new ArrayList<>(got);
    expected.add("more");
    Recovered again = Recovery.read(disk, owner);
    assertEquals(expected, Texts.of(again), what);
    assertFalse(again.damaged(), what + ": " + again.findings());
    return got;
  }

  @Test
  void aFileCutAtAnyLengthIsNeverHalfUsed() throws IOException {
    FaultyDisk whole = sample();
    assertEquals(lines(10), Texts.of(Recovery.read(whole, owner)));
    for (String name : whole.names()) {
      for (int length = 0; length < whole.bytes(name).length; length++) {
        FaultyDisk cut = whole.copy();
        cut.put(name, Arrays.copyOf(whole.bytes(name), length));
        List<String> got = survives(cut, name + " cut to " + length);
        if (name.startsWith("log-")) { // what stood before the cut is kept
          assertTrue(got.size() >= 6, name + " cut to " + length + ": " + got);
        }
      }
    }
  }

  @Test
  void anyFlippedBitIsFound() throws IOException {
    FaultyDisk whole = sample();
    int found = 0;
    int bits = 0;
    for (String name : whole.names()) {
      if (name.equals(Names.snapshot(1))) {
        continue; // the older one is not read while the newer is whole
      }
      for (int bit = 0; bit < 8 * whole.bytes(name).length; bit++) {
        FaultyDisk flipped = whole.copy();
        flipped.bytes(name)[bit / 8] ^= (byte) (1 << bit % 8);
        Recovered got = Recovery.read(flipped, owner);
        assertTrue(
            got.refusal() != null || !got.findings().isEmpty(),
            name + " bit " + bit + " was not seen");
        found += got.damaged() ? 1 : 0;
        bits++;
        survives(flipped, name + " bit " + bit);
      }
    }
    assertTrue(
        found > bits * 3 / 4,
        "only the closing mark and a header that nothing names may look unfinished: "
            + found
            + " of "
            + bits);
  }

  @Test
  void damageIsToldFromAnUnfinishedWrite() throws IOException {
    FaultyDisk disk = sample();
    String log = only(disk, "log-");
    byte[] bytes = disk.bytes(log);
    bytes[Format.HEADER + 20] ^= 1; // the first entry; later ones vouch for it
    Recovered found = Recovery.read(disk, owner);
    assertTrue(found.damaged());
    assertEquals(lines(6), Texts.of(found), "the snapshot alone");
    assertEquals(Format.HEADER, found.findings().get(0).at());
    survives(disk, "damage");
    assertNotNull(only(disk, "damaged-1-log-"), "it is kept for people");
  }

  @Test
  void aBadSnapshotFallsBackToTheOneBefore() throws IOException {
    FaultyDisk disk = sample();
    String snapshot = Names.snapshot(Names.snapshots(disk.names()).get(1));
    disk.bytes(snapshot)[Format.HEADER + 3] ^= 4;
    assertEquals(lines(3), Texts.of(Recovery.read(disk, owner)));
    survives(disk, "older snapshot");
  }

  @Test
  void filesOfANewerProgramAreLeftAlone() throws IOException {
    for (String kind : List.of("MANIFEST", "snapshot-", "log-")) {
      FaultyDisk disk = sample();
      String name = only(disk, kind);
      byte[] bytes = disk.bytes(name);
      Format.Header old = Format.header(ByteBuffer.wrap(bytes));
      new Format.Header(old.kind(), 2, old.number(), old.before(), old.beforeBytes())
          .bytes()
          .get(bytes, 0, Format.HEADER);
      refused(disk, name);
    }
    FaultyDisk disk = sample();
    owner.newest = 2;
    try (Engine engine = engine(disk)) {
      engine.write(List.of(new Entry(Texts.TYPE, 2, new byte[] {1})));
    }
    owner.newest = 1;
    refused(disk, "an entry");
  }

  private void refused(FaultyDisk disk, String what) throws IOException {
    Map<String, byte[]> before = disk.copy().all();
    Store.Opening opening = Store.open(disk, owner, new Store.Limits(MOST, 10, 1000), line -> {});
    assertTrue(opening instanceof Store.Refused, what + ": " + opening);
    assertEquals(before.keySet(), disk.names());
    before.forEach(
        (name, bytes) ->
            assertTrue(Arrays.equals(bytes, disk.bytes(name)), what + " changed " + name));
  }

  @Test
  void powerMayGoAtAnyCall() throws IOException {
    for (int at = 0; at < 90; at++) {
      for (int seed = 0; seed < 8; seed++) {
        FaultyDisk disk = new FaultyDisk(100L * at + seed);
        disk.crashAt = at;
        int acknowledged = 0;
        try (Engine engine = engine(disk)) {
          for (int i = 0; i < 10; i++) {
            engine.write(List.of(Texts.entry("line " + i)));
            acknowledged = i + 1;
            if (i == 2 || i == 5) {
              Engine.Compaction c = engine.compaction();
              c.run();
              engine.finish(c);
            }
          }
        } catch (FaultyDisk.PowerLoss e) {
          assertTrue(at < 90);
        }
        disk.restart();
        Recovered found = Recovery.read(disk, owner);
        assertFalse(found.damaged(), "call " + at + " seed " + seed + ": " + found.findings());
        assertTrue(
            survives(disk, "call " + at + " seed " + seed).size() >= acknowledged,
            "lost what was acknowledged");
      }
    }
  }
}
