package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a fleet sends in sum, with no word among its processes. */
class FleetRampTest {
  /**
   * Guards a cold dependency: beyond the budget of all shares only chance is allowed, and none
   * where a call fits a share.
   */
  @ParameterizedTest
  @CsvSource({"20, 0.05", "30, 0.05", "20, 1", "30, 1"})
  void theCallsOfAFleetKeepToItsQuotasWhenTheDependencyRestartsCold(int processes, double share) {
    FleetRamp.DownstreamLoad sum = FleetRamp.below(processes, share, 1);
    assertTrue(sum.maxMeanCalls() <= sum.allowed(), sum.toString());
    assertTrue(share < 0.1 || sum.maxMeanCalls() <= sum.budget(), sum.toString());
    assertTrue(sum.calls() > 20 * processes, "it calls at all: " + sum);
  }

  /**
   * Guards a cold node against the sum of its callers: what it runs follows its own ramp, however
   * many there are.
   */
  @Test
  void aColdNodeRunsNoMoreForThirtyCallersThanForFour() {
    for (int callers : new int[] {4, 20, 30}) {
      double most = ColdNodeRamp.maxLoad(callers, 1);
      assertTrue(most <= 1, callers + " callers: " + most + " of what it survives");
      assertTrue(most > 0.1, callers + " callers: it hardly runs at all, " + most);
    }
  }
}
