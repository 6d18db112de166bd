package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the total load of a fleet whose processes do not communicate. */
class FleetRampTest {
  /**
   * Guards against overload of a cold dependency by the sum of the processes' calls. Only random
   * variation may exceed the sum of the quotas, and none where a call fits into a quota.
   */
  @ParameterizedTest
  @CsvSource({"20, 0.05", "30, 0.05", "20, 1", "30, 1"})
  void callsOfFleetStayWithinQuotasWhenDependencyRestartsCold(int processes, double quota) {
    FleetRamp.DownstreamLoad load = FleetRamp.downstreamLoad(processes, quota, 1);
    assertTrue(load.maxMeanCalls() <= load.allowed(), load.toString());
    assertTrue(quota < 0.1 || load.maxMeanCalls() <= load.budget(), load.toString());
    assertTrue(load.calls() > 20 * processes, "too few calls: " + load);
  }

  /**
   * Guards against overload of a cold node by the sum of its callers: its concurrent runs must
   * follow its own warm-up, whatever the number of callers.
   */
  @Test
  void coldNodeStaysWithinOverloadLimitForFourToThirtyCallers() {
    for (int callers : new int[] {4, 20, 30}) {
      double maxOverloadShare = ColdNodeRamp.maxOverloadShare(callers, 1);
      assertTrue(
          maxOverloadShare <= 1,
          callers + " callers: " + maxOverloadShare + " of what the node survives");
      assertTrue(
          maxOverloadShare > 0.1,
          callers + " callers: the node runs too little: " + maxOverloadShare);
    }
  }
}
