package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The arithmetic of Algorithm 1, when the gate binds, and whom it rejects. */
class AdmissionGateTest {
  private static final PriorityClass LONG =
      new PriorityClass(1, 0, 60_000_000, 0, 60_000_000, Idempotency.SAFE, 0, false, 0);

  private static SimulatedHost withBusyCores(SimulatedHost host) {
    host.gauges.coreUtilisation = 1;
    host.advance(20_000);
    return host;
  }

  /** Four of eight arrivals run, four are held, and every further arrival is drawn for refusal. */
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
    host.arrive(0); // nothing ended yet: rho_c is u_s = 1
    assertEquals(0.1, host.policy.gate().averageOfferedLoad, 1e-12);
    assertEquals(0.1, host.policy.gate().averageUtilisation, 1e-12);
    SimulatedHost.HostedRequest second = host.arrive(0);
    assertEquals(0.19, host.policy.gate().averageOfferedLoad, 1e-12);
    host.end(second, Outcome.OK, 1000); // two arrivals over one completion: rho_c = 2
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
    for (int i = 0; i < 50; i++) { // held, but the oldest has not waited a tenth of its time
      host.arrive(0);
    }
    assertTrue(host.actions.stream().noneMatch(a -> a.startsWith("reject")));
    host.advance(7_000_000);
    host.policy.gate().averageOfferedLoad = 9;
    assertEquals("reject", host.arrive(0).answer);
    host.gauges.coreUtilisation = 0.85; // waited enough, but the cores are not busy
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
          (1.15 - 0.1 * currentOfferedLoad(host))
              / 0.9; // so that rho_av is 1.15 when the gate decides
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
    return host.policy.load().utilisation(); // nothing has ended: rho_c is u_s
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
    for (int i = 0; i < 4; i++) { // refusal binds, at an offered load that leaves no room for any
      host.policy.gate().averageUtilisation = 1;
      host.policy.gate().averageOfferedLoad = 90;
      host.arrive(0);
    }
    List<SimulatedHost.HostedRequest> held =
        host.requests.values().stream()
            .filter(hosted -> hosted.state == RequestState.QUEUED)
            .toList();
    assertEquals(4, held.size()); // each took the place of a further try
    assertTrue(held.stream().noneMatch(hosted -> hosted.request.retry()));
  }

  @Test
  void rejectionsBelowAdvisedLevelDoNotRaiseIt() {
    double[] advisedLevels = new double[2];
    for (int run = 0; run < 2; run++) {
      SimulatedHost host = withBusyCores(new SimulatedHost(TestSettings.plain(List.of(LONG)), 3));
      forceRejections(host);
      host.rank = run == 0 ? 0.3 : 0.99;
      for (int i = 0;
          i < 400;
          i++) { // far too many, of one rank: once under the level, they come unheeding
        host.policy.gate().averageUtilisation = 1;
        host.policy.gate().averageOfferedLoad = 5;
        host.arrive(0);
        host.advance(20_000);
      }
      advisedLevels[run] = host.loadAdvice;
    }
    assertTrue(advisedLevels[0] > 0.25 && advisedLevels[0] < 0.45, "said " + advisedLevels[0]);
    assertTrue(advisedLevels[1] > 0.9, "said " + advisedLevels[1]);
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
    for (int i = 0; i < 80; i++) { // each at four times its quota a server, in equal parts
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
    assertEquals(
        "reject", host.arrive(1, 0, 60_100_000, 0, 0).answer); // past its wanted time when read
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
    for (SimulatedHost.HostedRequest hosted :
        List.copyOf(host.requests.values())) { // it is served its quota
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
