package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the admission of requests that are read late. */
class AdmissionTest {
  @Test
  void requestReadLateStartsOnEmptyQueueDespiteHighLoad() {
    SimulatedHost host = Scenarios.warmedUp();
    host.gauges.coreUtilisation = 1; // reading alone uses all cores
    host.advance(20_000);
    host.policy.gate().averageUtilisation = 1;
    host.policy.gate().averageOfferedLoad = 50;
    assertEquals(RequestState.RUNNING, host.arrive(2, 0, 300_000, 0, 0).state);
  }

  @Test
  void lightArrivalIsRejectedOnEmptyQueueIfHeavierArrivalsAloneExceedCapacity() {
    SimulatedHost host =
        new SimulatedHost(
            TestSettings.plain(
                List.of(
                    TestSettings.SAFE,
                    new PriorityClass(
                        10, 0, 1_000_000, 0, 3_000_000, Idempotency.SAFE, 0, false, 0))),
            1);
    for (int i = 0; i < 64; i++) {
      host.end(host.arrive(i % 4 == 0 ? 1 : 0), Outcome.OK, 100_000);
      host.advance(100_000);
    }
    host.gauges.coreUtilisation = 1;
    host.advance(20_000);
    host.policy.gate().averageUtilisation = 1;
    // heavier arrivals offer half of the server's capacity
    host.policy.gate().averageOfferedLoad = 2;
    assertEquals(RequestState.RUNNING, host.arrive(0, 0, 300_000, 0, 0).state);
    // heavier arrivals offer five times the server's capacity
    host.policy.gate().averageOfferedLoad = 20;
    assertEquals("reject", host.arrive(0, 0, 300_000, 0, 0).answer);
    assertEquals(RequestState.RUNNING, host.arrive(1, 0, 300_000, 0, 0).state);
  }
}
