package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import rosecleat.policy.PolicyEvent;

/** The load estimate where no gauges are read. */
class LoadEstimatorTest {
  private static final int CORES = 4;
  private static final long START_US = 1_800_000_000_000_000L;

  private final LoadEstimator estimator = new LoadEstimator();

  @Test
  void firstEstimateIsTheLoadItself() {
    assertEquals(new PolicyEvent.LoadMeasured(0.5, 2), estimator.update(START_US, 2, CORES));
  }

  @Test
  void changeCountsByTheTimeSinceTheLastUpdate() {
    estimator.update(START_US, 0, CORES);
    assertEquals(
        new PolicyEvent.LoadMeasured(0.2, 4), estimator.update(START_US + 100_000, 4, CORES));
  }

  @Test
  void utilisationStaysWithinTheCores() {
    assertEquals(new PolicyEvent.LoadMeasured(1, 9), estimator.update(START_US, 9, CORES));
  }
}
