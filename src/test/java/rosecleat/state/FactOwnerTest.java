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
import rosecleat.store.Entry;
import rosecleat.store.Fold;
import rosecleat.store.Folder;
import rosecleat.store.Store;

/** Facts on disk: two versions, what is not known, and how many are kept. */
class FactOwnerTest {
  private static final long NOW_MS = 1_800_000_000_000L;

  @TempDir Path folder;

  /**
   * Version 1 as its program wrote it, field by field: node, and facts of kind, subject, value,
   * weight, milliseconds.
   */
  private static Entry old(
      String node, String kind, String subject, double value, double weight, long atMs)
      throws IOException {
    ByteArrayOutputStream fact = new ByteArrayOutputStream();
    CodedOutputStream to = CodedOutputStream.newInstance(fact);
    to.writeString(1, kind);
    to.writeString(2, subject);
    to.writeDouble(3, value);
    to.writeDouble(4, weight);
    to.writeFixed64(5, atMs);
    to.flush();
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    to = CodedOutputStream.newInstance(all);
    to.writeString(1, node);
    to.writeByteArray(2, fact.toByteArray());
    to.flush();
    return new Entry(1, 1, all.toByteArray());
  }

  private FactOwner.Facts read() throws IOException {
    return (FactOwner.Facts) Store.look(Folder.of(folder), new FactOwner()).fold();
  }

  @Test
  void aFolderOfTheOldVersionIsTakenOver() throws IOException {
    StateFiles.write(
        folder,
        List.of(
            old("n1", "run-time", "read", 20_000, 8, NOW_MS - 600_000),
            old("n1", "phase-of-the-moon", "", 3, 8, NOW_MS)));
    FactOwner.Facts facts = read();
    assertEquals(1, facts.unread(), "a kind that is not known");
    assertEquals(
        List.of(
            new FactOwner.Kept(
                "n1",
                new Fact(FactKind.RUN_TIME, "read", 20_000, 8, NOW_MS * 1000 - 600_000_000, ""))),
        facts.all());
    FactAggregator aggregator =
        new FactAggregator(
            new SettingsDigests("n1", "s", Map.of("read", "r1"), Map.of(), Map.of()), 600e6);
    aggregator.add("n1", List.of(facts.all().get(0).fact()), NOW_MS * 1000);
    assertEquals(
        2,
        aggregator.factsAt(NOW_MS * 1000).get(0).weight(),
        1e-9,
        "half for its age, half for terms not known");

    Store.compact(
        Folder.of(folder), new FactOwner(), 1 << 20); // from here on it is of the new version
    FactOwner.Facts after = read();
    assertEquals(facts.all(), after.all());
    assertEquals(0, after.unread());
  }

  @Test
  void anOldTimeTooLargeForMicrosecondsStaysInTheFuture() throws IOException {
    StateFiles.write(
        folder, List.of(old("n1", "run-time", "read", 20_000, 8, Long.MAX_VALUE / 10)));
    assertEquals(Long.MAX_VALUE, read().all().get(0).fact().learnedAtUs());
  }

  @Test
  void theLastOfEachIsKeptAndTheirNumberIsBounded() {
    Fold fold = new FactOwner().fold();
    List<Fact> some = new ArrayList<>();
    for (int i = 0; i < FactOwner.MOST + 1_000; i++) {
      some.add(new Fact(FactKind.TENANT_PART, "team " + i, 0.1, 1, i, ""));
    }
    fold.add(FactCodec.entry("n1", some));
    fold.add(
        FactCodec.entry(
            "n1", List.of(new Fact(FactKind.TENANT_PART, "team 20000", 0.2, 1, 9, ""))));
    fold.add(new Entry(1, 2, new byte[] {(byte) 0xff, 1, 2})); // whole on disk, and yet no facts
    FactOwner.Facts facts = (FactOwner.Facts) fold;
    assertEquals(FactOwner.MOST, facts.all().size());
    assertEquals(0.2, facts.all().get(FactOwner.MOST - 1).fact().value());
    assertEquals(1, facts.unread());
    Fold again = new FactOwner().fold();
    fold.forEach(
        entry -> {
          assertTrue(entry.payload().length < 1 << 20);
          again.add(entry);
        });
    assertEquals(FactOwner.MOST, ((FactOwner.Facts) again).all().size());
  }
}
