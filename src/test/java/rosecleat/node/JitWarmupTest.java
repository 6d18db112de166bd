package rosecleat.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rosecleat.fakes.TestSite;

/** The requests of the warm-up pass all stages: they are parsed, run, make calls and are served. */
class JitWarmupTest {
  @Test
  void warmupRequestsAreServed() {
    long served = JitWarmup.run(TestSite.config(1, 0, 0, 2_000, 500));
    assertTrue(served > 100, "served " + served);
  }
}
