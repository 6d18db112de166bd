package rosecleat.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the limits of the append queue and the size of its batches. */
class AppendQueueTest {
  private static final AppendCallback IGNORE = failure -> {};

  private static List<StoredRecord> recordOf(int encodedBytes) {
    return List.of(new StoredRecord(1, 1, new byte[encodedBytes - RecordFormat.HEADER_BYTES]));
  }

  @Test
  void appendBeyondCountOrSizeLimitIsRejectedUntilBatchIsTaken() throws Exception {
    AppendQueue byNumber = new AppendQueue(2, 1_000);
    assertTrue(byNumber.offer(recordOf(100), IGNORE));
    assertTrue(byNumber.offer(recordOf(100), IGNORE));
    assertFalse(byNumber.offer(recordOf(100), IGNORE));
    assertEquals(2, byNumber.takeBatch(0).size());
    assertTrue(byNumber.offer(recordOf(100), IGNORE));

    AppendQueue bySize = new AppendQueue(10, 250);
    assertTrue(bySize.offer(recordOf(100), IGNORE));
    assertFalse(bySize.offer(recordOf(200), IGNORE));
    assertTrue(
        bySize.offer(recordOf(150), IGNORE),
        "the rejected append does not count towards the size limit");
  }

  @Test
  void batchEndsOnceItReachesOneMebibyte() throws Exception {
    AppendQueue queue = new AppendQueue(10, 16 << 20);
    for (int i = 0; i < 5; i++) {
      queue.offer(recordOf(1 << 19), IGNORE);
    }
    assertEquals(2, queue.takeBatch(0).size());
    assertEquals(2, queue.takeBatch(0).size());
    assertEquals(1, queue.takeBatch(0).size());
    assertEquals(List.of(), queue.takeBatch(0));
  }

  @Test
  void waitingAppendsFailWhenStoreCloses() {
    AppendQueue queue = new AppendQueue(10, 1_000);
    List<Optional<AppendFailure>> outcomes = new ArrayList<>();
    queue.offer(recordOf(100), outcomes::add);
    queue.failAll(AppendFailure.closed());
    assertEquals(List.of(Optional.of(AppendFailure.closed())), outcomes);
    assertTrue(queue.isEmpty());
  }
}
