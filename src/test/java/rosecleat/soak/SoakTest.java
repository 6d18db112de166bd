package rosecleat.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Executes seeded runs in sequence and checks them against the rules of the protocol page. {@code
 * make soak SEED=1 RUNS=50} executes more runs; by default a short fixed set is executed.
 */
class SoakTest {
  private static final long FIRST_SEED = Long.getLong("soak.seed", 1);
  private static final int RUNS = Integer.getInteger("soak.runs", 12);

  @TempDir Path folder;

  static LongStream seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + RUNS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void nodeObeysProtocolRules(long seed) throws Exception {
    SoakRecord record = SoakRun.play(seed, folder);
    List<String> violations = SoakOracle.violations(record);
    assertTrue(
        violations.isEmpty(),
        () ->
            "make soak SEED=%d RUNS=1: %d violations\n%s\n%s"
                .formatted(
                    seed,
                    violations.size(),
                    String.join("\n", violations.subList(0, Math.min(20, violations.size()))),
                    record.describe()));
  }
}
