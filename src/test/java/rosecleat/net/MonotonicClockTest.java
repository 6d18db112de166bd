package rosecleat.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.Test;

class MonotonicClockTest {
  @Test
  void timeNeverRunsBackwards() {
    Iterator<Long> wall = List.of(10L, 20L, 5L, 19L, 21L).iterator();
    MonotonicClock clock = new MonotonicClock(wall::next);
    assertEquals(
        List.of(10L, 20L, 20L, 20L, 21L),
        List.of(
            clock.getAsLong(),
            clock.getAsLong(),
            clock.getAsLong(),
            clock.getAsLong(),
            clock.getAsLong()));
  }
}
