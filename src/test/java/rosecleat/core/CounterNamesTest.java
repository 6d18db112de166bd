package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Counter names that operators' tools depend on. */
class CounterNamesTest {
  @Test
  void runResultsKeepTheirCounters() {
    assertEquals(
        List.of("ok", "failed", "cut", "halted", "void", "unreached"),
        Arrays.stream(RunResult.values()).map(RunResult::counterSuffix).toList());
  }

  @Test
  void callResultsKeepTheirCounters() {
    assertEquals(
        List.of("hit", "shed", "broken", "slow", "unreached", "cut"),
        Arrays.stream(CallResult.values()).map(CallResult::counterSuffix).toList());
  }
}
