package rosecleat.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order and the number of transmissions of queued updates. */
class DisseminationQueueTest {
  private final DisseminationQueue<String> queue = new DisseminationQueue<>();

  @Test
  void leastTransmittedUpdatesGoFirstAndNewestAmongEquals() {
    queue.add("a", "a", 30, 2);
    assertEquals(List.of("a"), queue.take(30));
    queue.add("b", "b", 30, 2);
    queue.add("c", "c", 30, 2);
    assertEquals(List.of("c", "b", "a"), queue.take(90));
    assertEquals(List.of("c", "b"), queue.take(90));
    assertTrue(queue.isEmpty());
    assertEquals(0, queue.bytes());
  }

  @Test
  void newerUpdateReplacesOlderUpdateOfTheSameSubject() {
    queue.add("a", "old", 30, 5);
    queue.add("a", "new", 40, 1);
    assertEquals(40, queue.bytes());
    assertEquals(List.of("new"), queue.take(1_000));
    assertTrue(queue.take(1_000).isEmpty());
  }

  @Test
  void updateThatDoesNotFitStaysQueued() {
    queue.add("large", "large", 100, 1);
    queue.add("small", "small", 30, 1);
    assertEquals(List.of("small"), queue.take(60));
    assertEquals(List.of("large"), queue.take(100));
  }
}
