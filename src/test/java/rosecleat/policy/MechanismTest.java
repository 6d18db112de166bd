package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The arithmetic of Algorithm 1 and when refusal binds. */
class MechanismTest {
  private static final PriorityClass LONG =
      new PriorityClass(1, 0, 60_000_000, 0, 60_000_000, Idempotency.SAFE, 0, false, 0);

  private static Host busy(Host h) {
    h.gauges.coreUtilisation = 1;
    h.pass(20_000);
    return h;
  }

  /** Four of eight arrivals run, four are held, and every further arrival is drawn for refusal. */
  private static void drawsAll(Host h) {
    for (int i = 0; i < 8; i++) {
      h.arrive(0);
    }
    h.pass(6_500_000);
    h.policy.gate().averageUtilisation = 1;
    h.policy.gate().averageOfferedLoad = 90;
  }

  @Test
  void averagesFollowTheHandWorkedSequence() {
    Host h = busy(new Host(Sites.plain(List.of(LONG)), 1));
    h.arrive(0); // nothing ended yet: rho_c is u_s = 1
    assertEquals(0.1, h.policy.gate().averageOfferedLoad, 1e-12);
    assertEquals(0.1, h.policy.gate().averageUtilisation, 1e-12);
    Host.Entry second = h.arrive(0);
    assertEquals(0.19, h.policy.gate().averageOfferedLoad, 1e-12);
    h.end(second, Outcome.OK, 1000); // two arrivals over one completion: rho_c = 2
    assertEquals(0.9 * 0.19 + 0.1 * 2, h.policy.gate().averageOfferedLoad, 1e-12);
    assertEquals(0.271, h.policy.gate().averageUtilisation, 1e-12);
  }

  @Test
  void filterCoefficientIsClamped() {
    Host h = new Host(Sites.plain(), 1);
    h.policy.gate().averageOfferedLoad = 0.95;
    assertEquals(0.8, h.policy.gate().filteringCoefficient(1), 1e-12);
    h.policy.gate().averageOfferedLoad = 0.5;
    assertEquals(1, h.policy.gate().filteringCoefficient(1), 1e-12);
    h.policy.gate().averageOfferedLoad = 3;
    assertEquals(0, h.policy.gate().filteringCoefficient(1), 1e-12);
    assertEquals(0.75, h.policy.gate().filteringCoefficient(1.0 / 3), 1e-12);
  }

  @Test
  void nothingIsRefusedBeforeRefusalBinds() {
    Host h = busy(new Host(Sites.plain(List.of(LONG)), 1));
    h.policy.gate().averageUtilisation = 1;
    h.policy.gate().averageOfferedLoad = 3;
    for (int i = 0; i < 50; i++) { // held, but the oldest has not waited a tenth of its time
      h.arrive(0);
    }
    assertTrue(h.actions.stream().noneMatch(a -> a.startsWith("refuse")));
    h.pass(7_000_000);
    h.policy.gate().averageOfferedLoad = 9;
    assertEquals("refuse", h.arrive(0).answer);
    h.gauges.coreUtilisation = 0.85; // waited enough, but the cores are not busy
    h.pass(20_000);
    h.policy.gate().averageOfferedLoad = 9;
    assertEquals("", h.arrive(0).answer);
  }

  @Test
  void refusalsComeAsOftenAsTheCoefficientSays() {
    Host h = busy(new Host(Sites.plain(List.of(LONG)), 42));
    for (int i = 0; i < 6; i++) {
      h.arrive(0);
    }
    h.pass(6_100_000);
    int refused = 0;
    for (int i = 0; i < 2000; i++) {
      h.policy.gate().averageUtilisation = 1;
      h.policy.gate().averageOfferedLoad =
          (1.15 - 0.1 * rhoNow(h)) / 0.9; // so that rho_av is 1.15 when the gate decides
      Host.Entry e = h.arrive(0);
      assertEquals(1.15, h.policy.gate().averageOfferedLoad, 0.05);
      refused += e.answer.equals("refuse") ? 1 : 0;
      if (e.answer.isEmpty()) {
        h.gone(e);
      }
    }
    assertEquals(0.4, refused / 2000.0, 0.05);
  }

  private static double rhoNow(Host h) {
    return h.policy.load().utilisation(); // nothing has ended: rho_c is u_s
  }

  @Test
  void anArrivalCompetesOnlyWithWhatIsWorthAsMuch() {
    PriorityClass dear =
        new PriorityClass(5, 0, 60_000_000, 0, 60_000_000, Idempotency.SAFE, 0, false, 0);
    Host h = busy(new Host(Sites.plain(List.of(LONG, dear)), 3));
    for (int i = 0; i < 60; i++) {
      h.arrive(i % 4 == 0 ? 1 : 0);
    }
    h.pass(6_500_000);
    h.policy.gate().averageUtilisation = 1;
    for (int i = 0; i < 20; i++) {
      h.policy.gate().averageOfferedLoad = 2;
      assertEquals("", h.arrive(1).answer);
      h.policy.gate().averageOfferedLoad = 2;
      assertEquals("refuse", h.arrive(0).answer);
    }
  }

  @Test
  void aMarkedFurtherTryGivesWayToAFirstOne() {
    Host h = busy(new Host(Sites.plain(List.of(LONG)), 3));
    h.retry = true;
    for (int i = 0; i < 8; i++) {
      h.arrive(0);
    }
    h.pass(6_500_000);
    h.retry = false;
    for (int i = 0; i < 4; i++) { // refusal binds, at an offered load that leaves no room for any
      h.policy.gate().averageUtilisation = 1;
      h.policy.gate().averageOfferedLoad = 90;
      h.arrive(0);
    }
    List<Host.Entry> held = h.entries.values().stream().filter(e -> e.at == Host.At.HELD).toList();
    assertEquals(4, held.size()); // each took the place of a further try
    assertTrue(held.stream().noneMatch(e -> e.q.retry()));
  }

  @Test
  void theLevelDoesNotRiseForRefusalsBelowIt() {
    double[] said = new double[2];
    for (int all = 0; all < 2; all++) {
      Host h = busy(new Host(Sites.plain(List.of(LONG)), 3));
      drawsAll(h);
      h.rank = all == 0 ? 0.3 : 0.99;
      for (int i = 0;
          i < 400;
          i++) { // far too many, of one rank: once under the level, they come unheeding
        h.policy.gate().averageUtilisation = 1;
        h.policy.gate().averageOfferedLoad = 5;
        h.arrive(0);
        h.pass(20_000);
      }
      said[all] = h.said;
    }
    assertTrue(said[0] > 0.25 && said[0] < 0.45, "said " + said[0]);
    assertTrue(said[1] > 0.9, "said " + said[1]);
  }

  @Test
  void aDearerArrivalThatWasDrawnTakesThePlaceOfTheCheapestHeld() {
    PriorityClass dear =
        new PriorityClass(5, 0, 60_000_000, 0, 60_000_000, Idempotency.SAFE, 0, false, 0);
    Host h = busy(new Host(Sites.plain(List.of(LONG, dear)), 3));
    drawsAll(h);
    assertEquals("refuse", h.arrive(0).answer);
    h.policy.gate().averageOfferedLoad = 90;
    assertEquals("", h.arrive(1).answer);
    assertEquals("refuse", h.entries.get(5L).answer);
    assertEquals("", h.entries.get(6L).answer);
  }

  @Test
  void tenantsInsideTheirSharesAreNotSetAgainstEachOtherByFurtherTries() {
    List<TenantQuota> tenants = List.of(new TenantQuota(10), new TenantQuota(10));
    Host h =
        busy(
            new Host(
                Sites.with(
                    CancelMode.DROP,
                    LoadAdviceMode.WEIGHT,
                    DownstreamMode.OFF,
                    0,
                    100_000,
                    false,
                    tenants,
                    List.of(LONG)),
                3));
    for (int i = 0; i < 80; i++) { // each at four times its quota a server, in equal parts
      h.arrive(0, i % 2, 0, 0, 0);
    }
    h.pass(6_500_000);
    int[] refused = new int[2];
    for (int i = 0; i < 400; i++) {
      h.policy.gate().averageUtilisation = 1;
      h.policy.gate().averageOfferedLoad = 1.3;
      Host.Entry e = h.arrive(0, i % 2, 0, 0, 0);
      refused[i % 2] += e.owed ? 0 : 1;
      if (e.owed) {
        h.gone(e);
      }
    }
    assertTrue(refused[0] > 60 && refused[1] > 60, refused[0] + " and " + refused[1]);
  }

  @Test
  void aTenantWithoutAQuotaIsWhollyOverItsShare() {
    List<TenantQuota> tenants = List.of(new TenantQuota(0), new TenantQuota(100));
    Host h =
        busy(
            new Host(
                Sites.with(
                    CancelMode.DROP,
                    LoadAdviceMode.WEIGHT,
                    DownstreamMode.OFF,
                    0,
                    100_000,
                    false,
                    tenants,
                    List.of(LONG)),
                3));
    drawsAll(h);
    assertEquals("", h.arrive(0, 1, 0, 0, 0).answer);
    assertEquals("refuse", h.entries.get(5L).answer);
  }

  @Test
  void nothingHeldGivesWayToAnArrivalThatIsTurnedAwayAnyhow() {
    PriorityClass dear =
        new PriorityClass(5, 0, 60_000_000, 0, 60_000_000, Idempotency.SAFE, 0, false, 0);
    Host h = busy(new Host(Sites.plain(List.of(LONG, dear)), 3));
    drawsAll(h);
    assertEquals(
        "refuse", h.arrive(1, 0, 60_100_000, 0, 0).answer); // past its wanted time when read
    assertEquals("", h.entries.get(5L).answer);
  }

  @Test
  void aTenantFarOverItsShareIsRefusedFirst() {
    List<TenantQuota> tenants = List.of(new TenantQuota(10), new TenantQuota(100));
    Host h =
        busy(
            new Host(
                Sites.with(
                    CancelMode.DROP,
                    LoadAdviceMode.WEIGHT,
                    DownstreamMode.OFF,
                    0,
                    100_000,
                    false,
                    tenants,
                    List.of(LONG)),
                3));
    for (int i = 0; i < 80; i++) {
      h.arrive(0, i % 4 == 0 ? 1 : 0, 0, 0, 0);
    }
    h.pass(6_500_000);
    for (int i = 0; i < 40; i++) {
      h.arrive(0, i % 4 == 0 ? 1 : 0, 0, 0, 0);
    }
    for (Host.Entry e : List.copyOf(h.entries.values())) { // it is served its quota
      if (e.at == Host.At.RUNNING && e.q.tenantIndex() == 0) {
        h.end(e, Outcome.OK, 1_000);
      }
    }
    h.policy.gate().averageUtilisation = 1;
    h.policy.gate().averageOfferedLoad = 2.2;
    assertEquals("", h.arrive(0, 1, 0, 0, 0).answer);
    h.policy.gate().averageOfferedLoad = 2.2;
    assertEquals("refuse", h.arrive(0, 0, 0, 0, 0).answer);
  }

  @Test
  void theLimitStartsAtTheCoresGrowsWhileTheyAreFreeAndStaysUnderTheCrowd() {
    Host h = new Host(Sites.plain(List.of(LONG)), 1);
    for (int i = 0; i < 60; i++) {
      h.arrive(0);
    }
    assertEquals(4, h.running().size());
    h.gauges.coreUtilisation = 0.5;
    h.pass(5_000_000);
    assertTrue(h.policy.concurrencyLimit() > 4);
    assertTrue(h.policy.concurrencyLimit() < 4 * 6);
    assertEquals((int) h.policy.concurrencyLimit(), h.running().size());
  }

  @Test
  void theLimitShrinksToItsFloorAsRunTimeClimbs() {
    Host h = new Host(Sites.plain(List.of(LONG)), 1);
    for (int i = 0; i < 200; i++) {
      h.arrive(0);
    }
    h.gauges.coreUtilisation = 0.5;
    h.pass(2_000_000);
    double grown = h.policy.concurrencyLimit();
    h.gauges.coreUtilisation = 1; // with cores to spare, long runs are no crowd
    for (int i = 0; i < 30; i++) {
      h.end(h.running().get(0), Outcome.OK, 100_000);
    }
    for (int i = 0; i < 40; i++) {
      h.end(h.running().get(0), Outcome.OK, 300_000);
      h.pass(100_000);
    }
    assertTrue(grown > 4);
    assertEquals(4, h.policy.concurrencyLimit(), 1e-9);
  }

  @Test
  void heldWorkStartsOldestFirst() {
    Host h = new Host(Sites.plain(List.of(LONG)), 1);
    for (int i = 0; i < 8; i++) {
      h.arrive(0);
    }
    h.end(h.running().get(0), Outcome.OK, 1000);
    assertTrue(h.actions.contains("run 5"));
    assertTrue(!h.actions.contains("run 6"));
  }
}
