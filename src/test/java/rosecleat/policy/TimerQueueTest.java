package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the order in which timers fire. */
class TimerQueueTest {
  private final TimerQueue timers = new TimerQueue();

  @Test
  void timersDueAtSameTimeFireInOrderAdded() {
    timers.add(20, 1);
    timers.add(10, 2);
    timers.add(20, 3);
    assertEquals(10, timers.nextUs());
    assertEquals(2, timers.removeNext());
    assertEquals(1, timers.removeNext());
    assertEquals(3, timers.removeNext());
  }

  @Test
  void timerIsDueFromItsTime() {
    assertFalse(timers.isDue(Long.MAX_VALUE));
    assertEquals(Long.MAX_VALUE, timers.nextUs());
    timers.add(10, 1);
    assertFalse(timers.isDue(9));
    assertTrue(timers.isDue(10));
  }
}
