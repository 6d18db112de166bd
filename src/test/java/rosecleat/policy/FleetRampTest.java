package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a fleet sends in load, with no word among its processes. */
class FleetRampTest {
  /**
   * Guards a cold dependency: beyond the budget of all shares only chance is allowed, and none
   * where a call fits a quota.
   */
  @ParameterizedTest
  @CsvSource({"20, 0.05", "30, 0.05", "20, 1", "30, 1"})
  void callsOfFleetStayWithinQuotasWhenDependencyRestartsCold(int processes, double quota) {
    FleetRamp.DownstreamLoad load = FleetRamp.downstreamLoad(processes, quota, 1);
    assertTrue(load.maxMeanCalls() <= load.allowed(), load.toString());
    assertTrue(quota < 0.1 || load.maxMeanCalls() <= load.budget(), load.toString());
    assertTrue(load.calls() > 20 * processes, "it calls at all: " + load);
  }

  /**
   * Guards a cold node against the load of its callers: what it runs follows its own ramp, however
   * many there are.
   */
  @Test
  void coldNodeStaysWithinOverloadLimitForFourToThirtyCallers() {
    for (int callers : new int[] {4, 20, 30}) {
      double maxOverloadShare = ColdNodeRamp.maxOverloadShare(callers, 1);
      assertTrue(
          maxOverloadShare <= 1,
          callers + " callers: " + maxOverloadShare + " of what it survives");
      assertTrue(
          maxOverloadShare > 0.1, callers + " callers: it hardly runs at all, " + maxOverloadShare);
    }
  }
}
