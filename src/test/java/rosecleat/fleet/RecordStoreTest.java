package rosecleat.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/** Tests records that arrive in any order and more than once. */
class RecordStoreTest {
  @Property(tries = 200)
  void storeIsIndependentOfRecordOrder(@ForAll @Size(min = 1, max = 12) List<Long> choices) {
    List<FleetRecord> records = new ArrayList<>();
    choices.forEach(choice -> records.add(recordOf(choice)));
    RecordStore inOrder = new RecordStore();
    records.forEach(record -> inOrder.store(record, 0, 1));
    RecordStore shuffled = new RecordStore();
    Random random = new Random(choices.hashCode());
    for (int round = 0; round < 3; round++) {
      Collections.shuffle(records, random);
      records.forEach(record -> shuffled.store(record, 0, 1));
    }
    assertEquals(inOrder.syncDigest(), shuffled.syncDigest());
    assertEquals(inOrder.all().size(), shuffled.all().size());
  }

  /**
   * Returns a record with one of few owners, epochs and versions, so that many records share a key.
   */
  private static FleetRecord recordOf(long choice) {
    String owner = "o" + Math.floorMod(choice, 2);
    long epoch = 1L + Math.floorMod(choice / 2, 2);
    long version = Math.floorMod(choice / 4, 4);
    return new FleetRecord(owner, epoch, "k", "", version, 1_000, new byte[] {(byte) version});
  }
}
