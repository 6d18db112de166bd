package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the counter names that operators' tools depend on against changes. */
class CounterNamesTest {
  @Test
  void runResultsHaveStableCounterSuffixes() {
    assertEquals(
        List.of("ok", "failed", "cut", "halted", "void", "unreached"),
        Arrays.stream(RunResult.values()).map(RunResult::counterSuffix).toList());
  }

  @Test
  void callResultsHaveStableCounterSuffixes() {
    assertEquals(
        List.of("hit", "shed", "broken", "slow", "unreached", "cut"),
        Arrays.stream(CallResult.values()).map(CallResult::counterSuffix).toList());
  }
}
