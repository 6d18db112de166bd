package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the arithmetic of Algorithm 1, when the gate binds, and which requests it rejects. */
class AdmissionGateTest {
  private static final PriorityClass LONG =
      new PriorityClass(1, 0, 60_000_000, 0, 60_000_000, Idempotency.SAFE, 0, false, 0);

  private static SimulatedHost withBusyCores(SimulatedHost host) {
    host.gauges.coreUtilisation = 1;
    host.advance(20_000);
    return host;
  }

  /**
   * Starts four of eight arrivals, queues four, and lets the gate draw every later one for
   * rejection.
   */
  private static void forceRejections(SimulatedHost host) {
    for (int i = 0; i < 8; i++) {
      host.arrive(0);
    }
    host.advance(6_500_000);
    host.policy.gate().averageUtilisation = 1;
    host.policy.gate().averageOfferedLoad = 90;
  }

  @Test
  void averagesMatchHandComputedSequence() {
    SimulatedHost host = withBusyCores(new SimulatedHost(TestSettings.plain(List.of(LONG)), 1));
    host.arrive(0); // no run has ended, so rho_c is u_s = 1
    assertEquals(0.1, host.policy.gate().averageOfferedLoad, 1e-12);
    assertEquals(0.1, host.policy.gate().averageUtilisation, 1e-12);
    SimulatedHost.HostedRequest second = host.arrive(0);
    assertEquals(0.19, host.policy.gate().averageOfferedLoad, 1e-12);
    host.end(second, Outcome.OK, 1000); // two arrivals for one completion, so rho_c = 2
    assertEquals(0.9 * 0.19 + 0.1 * 2, host.policy.gate().averageOfferedLoad, 1e-12);
    assertEquals(0.271, host.policy.gate().averageUtilisation, 1e-12);
  }

  @Test
  void filteringCoefficientIsClampedToZeroAndOne() {
    SimulatedHost host = new SimulatedHost(TestSettings.plain(), 1);
    host.policy.gate().averageOfferedLoad = 0.95;
    assertEquals(0.8, host.policy.gate().filteringCoefficient(1), 1e-12);
    host.policy.gate().averageOfferedLoad = 0.5;
    assertEquals(1, host.policy.gate().filteringCoefficient(1), 1e-12);
    host.policy.gate().averageOfferedLoad = 3;
    assertEquals(0, host.policy.gate().filteringCoefficient(1), 1e-12);
    assertEquals(0.75, host.policy.gate().filteringCoefficient(1.0 / 3), 1e-12);
  }

  @Test
  void arrivalsAreRejectedOnlyWhileGateBinds() {
    SimulatedHost host = withBusyCores(new SimulatedHost(TestSettings.plain(List.of(LONG)), 1));
    host.policy.gate().averageUtilisation = 1;
    host.policy.gate().averageOfferedLoad = 3;
    // the arrivals are queued, but the oldest has not waited for a tenth of its objective
    for (int i = 0; i < 50; i++) {
      host.arrive(0);
    }
    assertTrue(host.actions.stream().noneMatch(a -> a.startsWith("reject")));
    host.advance(7_000_000);
    host.policy.gate().averageOfferedLoad = 9;
    assertEquals("reject", host.arrive(0).answer);
    // the oldest has waited long enough, but the cores are not busy
    host.gauges.coreUtilisation = 0.85;
    host.advance(20_000);
    host.policy.gate().averageOfferedLoad = 9;
    assertEquals("", host.arrive(0).answer);
  }

  @Test
  void rejectionRateMatchesFilteringCoefficient() {
    SimulatedHost host = withBusyCores(new SimulatedHost(TestSettings.plain(List.of(LONG)), 42));
    for (int i = 0; i < 6; i++) {
      host.arrive(0);
    }
    host.advance(6_100_000);
    int rejected = 0;
    for (int i = 0; i < 2000; i++) {
      host.policy.gate().averageUtilisation = 1;
      host.policy.gate().averageOfferedLoad =
          (1.15 - 0.1 * currentOfferedLoad(host)) / 0.9; // makes rho_av 1.15 when the gate decides
      SimulatedHost.HostedRequest hosted = host.arrive(0);
      assertEquals(1.15, host.policy.gate().averageOfferedLoad, 0.05);
      rejected += hosted.answer.equals("reject") ? 1 : 0;
      if (hosted.answer.isEmpty()) {
        host.callerCancels(hosted);
      }
    }
    assertEquals(0.4, rejected / 2000.0, 0.05);
  }

  private static double currentOfferedLoad(SimulatedHost host) {
    return host.policy.load().utilisation(); // no run has ended, so rho_c is u_s
  }

  @Test
  void arrivalCompetesOnlyWithArrivalsOfEqualOrHigherWeight() {
    PriorityClass heavy =
        new PriorityClass(5, 0, 60_000_000, 0, 60_000_000, Idempotency.SAFE, 0, false, 0);
    SimulatedHost host =
        withBusyCores(new SimulatedHost(TestSettings.plain(List.of(LONG, heavy)), 3));
    for (int i = 0; i < 60; i++) {
      host.arrive(i % 4 == 0 ? 1 : 0);
    }
    host.advance(6_500_000);
    host.policy.gate().averageUtilisation = 1;
    for (int i = 0; i < 20; i++) {
      host.policy.gate().averageOfferedLoad = 2;
      assertEquals("", host.arrive(1).answer);
      host.policy.gate().averageOfferedLoad = 2;
      assertEquals("reject", host.arrive(0).answer);
    }
  }

  @Test
  void firstAttemptReplacesQueuedRetry() {
    SimulatedHost host = withBusyCores(new SimulatedHost(TestSettings.plain(List.of(LONG)), 3));
    host.markRetries = true;
    for (int i = 0; i < 8; i++) {
      host.arrive(0);
    }
    host.advance(6_500_000);
    host.markRetries = false;
    for (int i = 0; i < 4; i++) { // the gate binds, at an offered load that admits no arrival
      host.policy.gate().averageUtilisation = 1;
      host.policy.gate().averageOfferedLoad = 90;
      host.arrive(0);
    }
    List<SimulatedHost.HostedRequest> queued =
        host.requests.values().stream()
            .filter(hosted -> hosted.state == RequestState.QUEUED)
            .toList();
    assertEquals(4, queued.size()); // each first attempt has replaced a retry
    assertTrue(queued.stream().noneMatch(hosted -> hosted.request.retry()));
  }

  @Test
  void rejectionsBelowAdvisedLevelDoNotRaiseIt() {
    double[] advisedLevels = new double[2];
    for (int run = 0; run < 2; run++) {
      SimulatedHost host = withBusyCores(new SimulatedHost(TestSettings.plain(List.of(LONG)), 3));
      forceRejections(host);
      host.rank = run == 0 ? 0.3 : 0.99;
      // overload by arrivals of one rank, which continue after the level exceeds that rank
      for (int i = 0; i < 400; i++) {
        host.policy.gate().averageUtilisation = 1;
        host.policy.gate().averageOfferedLoad = 5;
        host.arrive(0);
        host.advance(20_000);
      }
      advisedLevels[run] = host.loadAdvice;
    }
    assertTrue(
        advisedLevels[0] > 0.25 && advisedLevels[0] < 0.45, "advised level " + advisedLevels[0]);
    assertTrue(advisedLevels[1] > 0.9, "advised level " + advisedLevels[1]);
  }

  @Test
  void heavierArrivalDrawnForRejectionReplacesLightestQueuedRequest() {
    PriorityClass heavy =
        new PriorityClass(5, 0, 60_000_000, 0, 60_000_000, Idempotency.SAFE, 0, false, 0);
    SimulatedHost host =
        withBusyCores(new SimulatedHost(TestSettings.plain(List.of(LONG, heavy)), 3));
    forceRejections(host);
    assertEquals("reject", host.arrive(0).answer);
    host.policy.gate().averageOfferedLoad = 90;
    assertEquals("", host.arrive(1).answer);
    assertEquals("reject", host.requests.get(5L).answer);
    assertEquals("", host.requests.get(6L).answer);
  }

  @Test
  void tenantsEquallyOverQuotaAreBothRejected() {
    List<TenantQuota> tenants = List.of(new TenantQuota(10), new TenantQuota(10));
    SimulatedHost host =
        withBusyCores(new SimulatedHost(TestSettings.withTenants(tenants, LONG), 3));
    for (int i = 0; i < 80; i++) { // both send equally, at four times their quota per server
      host.arrive(0, i % 2, 0, 0, 0);
    }
    host.advance(6_500_000);
    int[] rejected = new int[2];
    for (int i = 0; i < 400; i++) {
      host.policy.gate().averageUtilisation = 1;
      host.policy.gate().averageOfferedLoad = 1.3;
      SimulatedHost.HostedRequest hosted = host.arrive(0, i % 2, 0, 0, 0);
      rejected[i % 2] += hosted.awaitingResponse ? 0 : 1;
      if (hosted.awaitingResponse) {
        host.callerCancels(hosted);
      }
    }
    assertTrue(rejected[0] > 60 && rejected[1] > 60, rejected[0] + " and " + rejected[1]);
  }

  @Test
  void tenantWithZeroQuotaIsOverQuota() {
    List<TenantQuota> tenants = List.of(new TenantQuota(0), new TenantQuota(100));
    SimulatedHost host =
        withBusyCores(new SimulatedHost(TestSettings.withTenants(tenants, LONG), 3));
    forceRejections(host);
    assertEquals("", host.arrive(0, 1, 0, 0, 0).answer);
    assertEquals("reject", host.requests.get(5L).answer);
  }

  @Test
  void arrivalPastItsObjectiveReplacesNoQueuedRequest() {
    PriorityClass heavy =
        new PriorityClass(5, 0, 60_000_000, 0, 60_000_000, Idempotency.SAFE, 0, false, 0);
    SimulatedHost host =
        withBusyCores(new SimulatedHost(TestSettings.plain(List.of(LONG, heavy)), 3));
    forceRejections(host);
    // the arrival is past its latency objective when it is read
    assertEquals("reject", host.arrive(1, 0, 60_100_000, 0, 0).answer);
    assertEquals("", host.requests.get(5L).answer);
  }

  @Test
  void tenantFarOverQuotaIsRejectedFirst() {
    List<TenantQuota> tenants = List.of(new TenantQuota(10), new TenantQuota(100));
    SimulatedHost host =
        withBusyCores(new SimulatedHost(TestSettings.withTenants(tenants, LONG), 3));
    for (int i = 0; i < 80; i++) {
      host.arrive(0, i % 4 == 0 ? 1 : 0, 0, 0, 0);
    }
    host.advance(6_500_000);
    for (int i = 0; i < 40; i++) {
      host.arrive(0, i % 4 == 0 ? 1 : 0, 0, 0, 0);
    }
    // the tenant is served its quota
    for (SimulatedHost.HostedRequest hosted : List.copyOf(host.requests.values())) {
      if (hosted.state == RequestState.RUNNING && hosted.request.tenantIndex() == 0) {
        host.end(hosted, Outcome.OK, 1_000);
      }
    }
    host.policy.gate().averageUtilisation = 1;
    host.policy.gate().averageOfferedLoad = 2.2;
    assertEquals("", host.arrive(0, 1, 0, 0, 0).answer);
    host.policy.gate().averageOfferedLoad = 2.2;
    assertEquals("reject", host.arrive(0, 0, 0, 0, 0).answer);
  }
}
