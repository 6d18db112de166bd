package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import rosecleat.policy.PolicyEvent;

/** Tests the load estimate that is used without gauges. */
class LoadEstimatorTest {
  private static final int CORES = 4;
  private static final long START_US = 1_800_000_000_000_000L;

  private final LoadEstimator estimator = new LoadEstimator();

  @Test
  void firstEstimateEqualsTheCurrentLoad() {
    assertEquals(new PolicyEvent.LoadMeasured(0.5, 2), estimator.update(START_US, 2, CORES));
  }

  @Test
  void weightOfNewLoadIsProportionalToTheTimeSinceTheLastUpdate() {
    estimator.update(START_US, 0, CORES);
    assertEquals(
        new PolicyEvent.LoadMeasured(0.2, 4), estimator.update(START_US + 100_000, 4, CORES));
  }

  @Test
  void utilisationIsAtMostOneWithMoreRunsThanCores() {
    assertEquals(new PolicyEvent.LoadMeasured(1, 9), estimator.update(START_US, 9, CORES));
  }
}
