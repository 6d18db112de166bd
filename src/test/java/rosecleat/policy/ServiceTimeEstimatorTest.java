package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests run times by class, observed and restored. */
class ServiceTimeEstimatorTest {
  private static final int RUNS = 30;

  private final ServiceTimeEstimator estimator =
      new ServiceTimeEstimator(new CoreLoad(new PolicyContext(TestSettings.plain(), 1, null)));
  private final TrackedRequest tracked = newRequest(0);

  ServiceTimeEstimatorTest() {
    estimator.resize(1);
  }

  private static TrackedRequest newRequest(long hintUs) {
    PolicyRequest request =
        new PolicyRequest(1, 0, 0, 0, 0, hintUs, 10, 0.5, false, false, 1, 0, 0);
    return new TrackedRequest(request, TestSettings.SAFE, 0, 1_000_000, 3_000_000);
  }

  private void completeRuns(long tookUs) {
    for (int i = 0; i < RUNS; i++) {
      estimator.recordEnd(tracked, tookUs);
    }
  }

  @Test
  void expectedRunTimeIsZeroBeforeFirstRunEnds() {
    assertEquals(0, estimator.expectedRunTime(tracked));
    assertFalse(estimator.hasEnoughRuns(0));
  }

  @Test
  void equalRunsSetExpectedRunTimeWithoutSlowness() {
    completeRuns(50_000);
    assertEquals(50_000, estimator.expectedRunTime(tracked), 1e-6);
    assertEquals(1, estimator.slowness(), 1e-9);
    assertTrue(estimator.hasEnoughRuns(0));
  }

  @Test
  void longerRunsRaiseSlownessAndExpectedRunTime() {
    completeRuns(50_000);
    completeRuns(200_000);
    assertTrue(estimator.slowness() > 2);
    assertTrue(estimator.expectedRunTime(tracked) > 100_000);
  }

  @Test
  void hintsScaleExpectedRunTime() {
    estimator.recordEnd(newRequest(10_000), 20_000);
    assertEquals(40_000, estimator.expectedRunTime(newRequest(20_000)), 1e-6);
  }

  @Test
  void restoredRunTimeIsUsedUntilDiscounted() {
    estimator.restore(new double[] {70_000}, new int[] {1});
    assertEquals(70_000, estimator.expectedRunTime(tracked));
    assertArrayEquals(new int[] {1}, estimator.learnedRunCounts());
    estimator.discountRestored(0);
    assertEquals(0, estimator.expectedRunTime(tracked));
  }

  @Test
  void reassignedClassIsForgotten() {
    completeRuns(50_000);
    estimator.forget(0);
    assertEquals(0, estimator.observedRunTime(0));
    assertArrayEquals(new int[] {0}, estimator.learnedRunCounts());
  }
}
