package rosecleat.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.facts.Fact;
import rosecleat.facts.FactKind;
import rosecleat.store.FileSystemDirectory;
import rosecleat.store.RecordStore;
import rosecleat.store.RecoveryReport;

/**
 * Guards against an incompatible change of the stored files. For folders that the program of commit
 * a6781e5 wrote (see the README beside them), this program must read the same facts, append to the
 * folders, and write the same bytes for the same input.
 */
class EarlierVersionStateTest {
  private static final Path WRITTEN_BY_EARLIER_VERSION =
      Path.of("src/test/resources/rosecleat/state/written-by-a6781e5");
  private static final String NODE = "t1";
  private static final String SERVER_DIGEST = "67de3edb16544086";
  private static final String TENANT_DIGEST = "9612b9a8cf711eed";
  private static final String READ_DIGEST = "479116d71f8ecc9c";
  private static final String REFRESH_DIGEST = "f63a5c14bad63cac";
  private static final String LOAD_DIGEST = "05f057dd36724676";
  private static final long MAX_BYTES = 4 << 20;

  private static final List<Fact> SERVED =
      List.of(
          new Fact(
              FactKind.TENANT_PART,
              "big",
              0.6922675188687613,
              128,
              1_796_225_271_784_357L,
              TENANT_DIGEST),
          new Fact(
              FactKind.TENANT_PART,
              "small",
              0.3077324811312392,
              128,
              1_796_225_271_784_357L,
              TENANT_DIGEST),
          new Fact(
              FactKind.RUN_TIME,
              "balance-check",
              31759.43619948303,
              32,
              1_796_225_272_301_160L,
              READ_DIGEST),
          new Fact(
              FactKind.RUN_TIME,
              "card-refresh",
              1144.5272888240004,
              26,
              1_796_225_272_806_725L,
              REFRESH_DIGEST),
          new Fact(
              FactKind.RUN_TIME,
              "card-load",
              114917.67690512285,
              12,
              1_796_225_272_806_725L,
              LOAD_DIGEST),
          new Fact(
              FactKind.CALL_TIME, "", 4702.475135676502, 26, 1_796_225_272_806_725L, SERVER_DIGEST),
          new Fact(
              FactKind.LIMIT,
              "",
              2.7647970300254254,
              5.02237080712004,
              1_796_225_272_806_725L,
              SERVER_DIGEST));

  private static final List<Fact> KILLED =
      List.of(
          new Fact(
              FactKind.RUN_TIME,
              "balance-check",
              43702.06129810446,
              28,
              1_796_225_228_055_156L,
              READ_DIGEST),
          new Fact(
              FactKind.RUN_TIME,
              "card-refresh",
              715.0413886881801,
              32,
              1_796_225_229_594_853L,
              REFRESH_DIGEST),
          new Fact(
              FactKind.RUN_TIME,
              "card-load",
              144554.83554517713,
              7,
              1_796_225_229_594_853L,
              LOAD_DIGEST),
          new Fact(
              FactKind.CALL_TIME, "", 2969.426440716135, 44, 1_796_225_229_594_853L, SERVER_DIGEST),
          new Fact(
              FactKind.LIMIT,
              "",
              2.3265797535142436,
              1.9000000000000006,
              1_796_225_229_594_853L,
              SERVER_DIGEST),
          new Fact(
              FactKind.TENANT_PART,
              "big",
              0.5622485896430964,
              120,
              1_796_225_229_594_853L,
              TENANT_DIGEST),
          new Fact(
              FactKind.TENANT_PART,
              "small",
              0.4377514103569038,
              120,
              1_796_225_229_594_853L,
              TENANT_DIGEST));

  /** The fact that the earlier program appended to {@code killed-then-appended}. */
  private static final Fact APPENDED =
      new Fact(FactKind.CALL_LIMIT, "", 12.5, 20, 1_800_000_000_000_000L, SERVER_DIGEST);

  @TempDir Path temporary;

  private Path copy(String name) throws IOException {
    Path copy = Files.createDirectory(temporary.resolve(name));
    try (Stream<Path> files = Files.list(WRITTEN_BY_EARLIER_VERSION.resolve(name))) {
      for (Path file : files.toList()) {
        Files.copy(file, copy.resolve(file.getFileName()));
      }
    }
    return copy;
  }

  private static RecoveryReport read(Path folder) throws IOException {
    return RecordStore.inspect(FileSystemDirectory.openExisting(folder), new FactStateFactory());
  }

  private static void assertFactsIn(List<Fact> expected, Path folder) throws IOException {
    RecoveryReport found = read(folder);
    assertEquals(Optional.empty(), found.unsupportedFormat());
    assertEquals(List.of(), found.issues());
    assertFalse(found.isNewStore());
    FactState facts = (FactState) found.state();
    assertEquals(0, facts.unreadable());
    assertEquals(expected.stream().map(fact -> new NodeFact(NODE, fact)).toList(), facts.facts());
  }

  private static void assertSameFiles(String expectedName, Path folder) throws IOException {
    Map<String, byte[]> expected = files(WRITTEN_BY_EARLIER_VERSION.resolve(expectedName));
    Map<String, byte[]> actual = files(folder);
    assertEquals(expected.keySet(), actual.keySet());
    expected.forEach((name, bytes) -> assertArrayEquals(bytes, actual.get(name), name));
  }

  private static Map<String, byte[]> files(Path folder) throws IOException {
    Map<String, byte[]> files = new TreeMap<>();
    try (Stream<Path> all = Files.list(folder)) {
      for (Path file : all.toList()) {
        files.put(file.getFileName().toString(), Files.readAllBytes(file));
      }
    }
    return files;
  }

  private static List<Fact> with(List<Fact> facts, Fact more) {
    List<Fact> all = new ArrayList<>(facts);
    all.add(more);
    return all;
  }

  private void assertReadableAndWritable(String name, List<Fact> facts) throws IOException {
    Path folder = copy(name);
    assertFactsIn(facts, folder);
    StateFiles.append(folder, NODE, APPENDED);
    assertFactsIn(with(facts, APPENDED), folder);
    RecordStore.compact(
        FileSystemDirectory.openExisting(folder), new FactStateFactory(), MAX_BYTES);
    assertFactsIn(with(facts, APPENDED), folder);
  }

  @Test
  void folderWithSnapshotAndLogsIsReadAndAppendedTo() throws IOException {
    assertReadableAndWritable("served", SERVED);
  }

  @Test
  void logWithoutSnapshotIsReadAndAppendedTo() throws IOException {
    assertReadableAndWritable("killed", KILLED);
  }

  @Test
  void compactedOrClosedFoldersHaveSameFacts() throws IOException {
    assertFactsIn(KILLED, copy("killed-then-compacted"));
    assertFactsIn(with(KILLED, APPENDED), copy("killed-then-appended"));
  }

  @Test
  void tornRecordAtEndIsIgnoredAndEarlierRecordsAreRead() throws IOException {
    Path folder = copy("killed");
    Path log = folder.resolve("log-1");
    byte[] bytes = Files.readAllBytes(log);
    Files.write(log, Arrays.copyOf(bytes, bytes.length - 1));
    RecoveryReport found = read(folder);
    assertFalse(found.hasCorruption());
    assertEquals(1, found.issues().size());
    assertEquals(4, found.records(), "the intact log has five records");
    StateFiles.append(folder, NODE, APPENDED);
    FactState facts = (FactState) read(folder).state();
    assertEquals(APPENDED, facts.facts().get(facts.facts().size() - 1).fact());
  }

  @Test
  void compactionWritesSameBytes() throws IOException {
    Path folder = copy("killed");
    RecordStore.compact(FileSystemDirectory.openExisting(folder), new FactStateFactory(), 1L << 40);
    assertSameFiles("killed-then-compacted", folder);
  }

  @Test
  void appendAndCloseWriteSameBytes() throws IOException {
    Path folder = copy("killed");
    StateFiles.append(folder, NODE, APPENDED);
    assertSameFiles("killed-then-appended", folder);
  }
}
