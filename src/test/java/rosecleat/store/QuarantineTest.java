package rosecleat.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests how many corrupt files the quarantine retains, and under which names. */
class QuarantineTest {
  /** Size limit of the store; the quarantine may use a quarter of it, which is 100 bytes. */
  private static final long MAX_STORE_BYTES = 400;

  private final FaultyDirectory directory = new FaultyDirectory(1);
  private final Quarantine quarantine = new Quarantine(directory, MAX_STORE_BYTES);

  private void add(String name, int bytes) throws IOException {
    directory.put(name, new byte[bytes]);
    quarantine.add(List.of(name));
  }

  @Test
  void firstOfSeveralCorruptFilesGetsHighestNumber() throws IOException {
    directory.put("log-1", new byte[10]);
    directory.put("log-2", new byte[20]);
    assertEquals(30, quarantine.add(List.of("log-1", "log-2")));
    assertEquals(Set.of("damaged-2-log-1", "damaged-1-log-2"), directory.list());
  }

  @Test
  void oldestFilesAreDeletedBeyondFour() throws IOException {
    for (int number = 1; number <= 6; number++) {
      add("log-" + number, 1);
    }
    assertEquals(
        Set.of("damaged-3-log-3", "damaged-4-log-4", "damaged-5-log-5", "damaged-6-log-6"),
        directory.list());
  }

  @Test
  void oldestFilesAreDeletedBeyondQuarterOfStoreSizeLimit() throws IOException {
    add("log-1", 60);
    add("log-2", 60);
    assertEquals(Set.of("damaged-2-log-2"), directory.list());
    assertEquals(60, quarantine.add(List.of()));
  }
}
