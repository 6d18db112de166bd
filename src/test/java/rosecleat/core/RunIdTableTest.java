package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The bounded table of the ids of the latest runs. */
class RunIdTableTest {
  private static long value(int number) {
    return RunIdTable.valueOf("%016x".formatted(number));
  }

  @Test
  void addedIdsAreKnownUntilTheyAreRemoved() {
    RunIdTable table = new RunIdTable();
    int position = table.add(value(1));
    assertEquals(position, table.add(value(1)));
    assertTrue(table.contains(value(1)));
    assertFalse(table.contains(value(2)));
    assertEquals(position, table.remove(value(1)));
    assertFalse(table.contains(value(1)));
    assertEquals(RunIdTable.NONE, table.remove(value(1)));
  }

  /** The latest ids are known however many came before, and the entry lies in its id's bucket. */
  @Test
  void latestIdsAreKnownAfterAnyNumberOfOthers() {
    RunIdTable table = new RunIdTable();
    int count = 10 * RunIdTable.ENTRIES;
    for (int number = 0; number < count; number++) {
      int position = table.add(value(number));
      int start = RunIdTable.bucketStart(value(number));
      assertTrue(position >= start && position < start + RunIdTable.BUCKET_ENTRIES);
    }
    for (int number = count - RunIdTable.ENTRIES / 16; number < count; number++) {
      assertTrue(table.contains(value(number)), "id " + number);
    }
  }
}
