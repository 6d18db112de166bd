package rosecleat.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosecleat.facts.Fact;
import rosecleat.facts.FactAggregator;
import rosecleat.facts.FactKind;
import rosecleat.facts.SettingsDigests;
import rosecleat.store.FileSystemDirectory;
import rosecleat.store.RecordStore;
import rosecleat.store.StoredRecord;

/** Tests stored facts: both record versions, unknown kinds and the limit on their number. */
class FactStateTest {
  private static final long NOW_MS = 1_800_000_000_000L;

  @TempDir Path folder;

  /**
   * Returns a record of version 1, encoded field by field as the earlier program wrote it: the node
   * and one fact with its kind, subject, value, weight and time in milliseconds.
   */
  private static StoredRecord versionOneRecord(
      String node, String kind, String subject, double value, double weight, long atMs)
      throws IOException {
    ByteArrayOutputStream fact = new ByteArrayOutputStream();
    CodedOutputStream output = CodedOutputStream.newInstance(fact);
    output.writeString(1, kind);
    output.writeString(2, subject);
    output.writeDouble(3, value);
    output.writeDouble(4, weight);
    output.writeFixed64(5, atMs);
    output.flush();
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    output = CodedOutputStream.newInstance(message);
    output.writeString(1, node);
    output.writeByteArray(2, fact.toByteArray());
    output.flush();
    return new StoredRecord(1, 1, message.toByteArray());
  }

  private FactState read() throws IOException {
    return (FactState)
        RecordStore.inspect(FileSystemDirectory.openExisting(folder), new FactStateFactory())
            .state();
  }

  @Test
  void versionOneRecordsAreReadAndRewrittenAsVersionTwo() throws IOException {
    StateFiles.write(
        folder,
        List.of(
            versionOneRecord("n1", "run-time", "read", 20_000, 8, NOW_MS - 600_000),
            versionOneRecord("n1", "phase-of-the-moon", "", 3, 8, NOW_MS)));
    FactState facts = read();
    assertEquals(1, facts.unreadable(), "the fact of an unknown kind");
    assertEquals(
        List.of(
            new NodeFact(
                "n1",
                new Fact(FactKind.RUN_TIME, "read", 20_000, 8, NOW_MS * 1000 - 600_000_000, ""))),
        facts.facts());
    FactAggregator aggregator =
        new FactAggregator(
            new SettingsDigests("n1", "s", Map.of("read", "r1"), Map.of(), Map.of()), 600e6);
    aggregator.add("n1", List.of(facts.facts().get(0).fact()), NOW_MS * 1000);
    assertEquals(
        2,
        aggregator.factsAt(NOW_MS * 1000).get(0).weight(),
        1e-9,
        "weight 8 is halved for its age and halved again for unknown settings");

    RecordStore.compact(
        FileSystemDirectory.openExisting(folder),
        new FactStateFactory(),
        1 << 20); // rewrites the records in version 2
    FactState after = read();
    assertEquals(facts.facts(), after.facts());
    assertEquals(0, after.unreadable());
  }

  @Test
  void timeTooLargeForMicrosecondsStaysInFuture() throws IOException {
    StateFiles.write(
        folder,
        List.of(versionOneRecord("n1", "run-time", "read", 20_000, 8, Long.MAX_VALUE / 10)));
    assertEquals(Long.MAX_VALUE, read().facts().get(0).fact().learnedAtUs());
  }

  @Test
  void lastFactOfEachKeyIsRetainedAndFactCountIsBounded() {
    FactState state = new FactState();
    List<Fact> facts = new ArrayList<>();
    for (int i = 0; i < FactState.MAX_FACTS + 1_000; i++) {
      facts.add(new Fact(FactKind.TENANT_PART, "team " + i, 0.1, 1, i, ""));
    }
    state.apply(FactCodec.encode("n1", facts));
    state.apply(
        FactCodec.encode(
            "n1", List.of(new Fact(FactKind.TENANT_PART, "team 20000", 0.2, 1, 9, ""))));
    state.apply(
        new StoredRecord(
            1, 2, new byte[] {(byte) 0xff, 1, 2})); // a payload that is not a valid message
    assertEquals(FactState.MAX_FACTS, state.facts().size());
    assertEquals(0.2, state.facts().get(FactState.MAX_FACTS - 1).fact().value());
    assertEquals(1, state.unreadable());
    FactState copy = new FactState();
    state.writeSnapshot(
        record -> {
          assertTrue(record.payload().length < 1 << 20);
          copy.apply(record);
        });
    assertEquals(FactState.MAX_FACTS, copy.facts().size());
  }
}
