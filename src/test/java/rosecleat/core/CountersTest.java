package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against truncated counters in the log: the counters that a busy node logs when it stops
 * exceed the maximum length of a log line, and a line cut in the middle of a value shows a wrong
 * count, such as {@code 11...}.
 */
class CountersTest {
  private static final int MAX_CHARS = 60;

  @Test
  void linesContainEveryCounterAndNeverExceedTheMaximumLength() {
    Counters counters = new Counters();
    for (int i = 0; i < 50; i++) {
      counters.add("counter." + i, i + 1);
    }
    List<String> lines = counters.toLines(MAX_CHARS);
    StringBuilder joined = new StringBuilder("counters");
    for (String line : lines) {
      assertTrue(line.length() <= MAX_CHARS, line);
      assertTrue(line.startsWith("counters "), line);
      joined.append(line.substring("counters".length()));
    }
    assertEquals(counters.toString(), joined.toString());
  }

  @Test
  void counterLongerThanTheMaximumHasItsOwnLine() {
    Counters counters = new Counters();
    counters.add("a", 1);
    counters.add("b".repeat(MAX_CHARS), 2);
    assertEquals(
        List.of("counters a=1", "counters " + "b".repeat(MAX_CHARS) + "=2"),
        counters.toLines(MAX_CHARS));
  }

  @Test
  void noCountersGiveOneLineWithThePrefixOnly() {
    assertEquals(List.of("counters"), new Counters().toLines(MAX_CHARS));
  }
}
