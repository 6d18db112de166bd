package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** What one module has learnt, taken in by another. */
class EstimatesTest {
  private static final ClassAndTenantNames NAMES =
      new ClassAndTenantNames(List.of("safe", "keyed", "unsafe"), List.of());
  private long now = 1_000_000;
  private long id;

  private PolicyEngine begun() {
    PolicyEngine decisions = new PolicyEngine(Sites.plain(), List.of("core_use", "on_cores"), 7);
    decisions.start(now, false);
    return decisions;
  }

  /** One request of the first class that comes now; what became of it at once. */
  private List<PolicyCommand> arrive(PolicyEngine decisions, long leftUs) {
    decisions.handle(
        now, new PolicyEvent.Arrived(++id, 0, 0, 0, leftUs, 16, 0.5, false, false, 1, 0, 0));
    return java.util.stream.Stream.generate(decisions::nextCommand)
        .takeWhile(o -> o != null)
        .filter(
            o ->
                o instanceof PolicyCommand.Run
                    || o instanceof PolicyCommand.Reject
                    || o instanceof PolicyCommand.Fail)
        .toList();
  }

  private void runs(PolicyEngine decisions, int count, long tookUs) {
    for (int i = 0; i < count; i++) {
      assertEquals(List.of(new PolicyCommand.Run(id + 1)), arrive(decisions, 3_000_000));
      now += tookUs;
      decisions.handle(now, new PolicyEvent.Ended(id, RunOutcome.OK, tookUs));
      decisions.tick(now);
    }
  }

  private static Map<EstimateKind, Estimate> byTopic(PolicyEngine decisions) {
    return decisions.estimates(NAMES).stream()
        .collect(Collectors.toMap(Estimate::kind, l -> l, (a, b) -> a));
  }

  @Test
  void aRunTimeIsPassedOnAndOvertakenByWhatIsSeen() {
    PolicyEngine first = begun();
    runs(first, 20, 50_000);
    Estimate learnt = byTopic(first).get(EstimateKind.RUN_TIME);
    assertEquals("safe", learnt.subject());
    assertEquals(50_000, learnt.value(), 1_000);
    assertEquals(20, learnt.samples());
    Estimate passedOn = new Estimate(EstimateKind.RUN_TIME, "safe", learnt.value(), 8);

    PolicyEngine second = new PolicyEngine(Sites.plain(), List.of("core_use", "on_cores"), 7);
    second.restore(NAMES, () -> first.estimates(NAMES)); // it has not begun: taken in then
    second.start(now, false);
    assertEquals(
        passedOn,
        byTopic(second).get(EstimateKind.RUN_TIME),
        "passed on until it has seen as much itself");
    runs(second, 4, 10_000);
    assertEquals(50_000, byTopic(second).get(EstimateKind.RUN_TIME).value(), 1_000);
    runs(second, 20, 10_000);
    assertEquals(10_000, byTopic(second).get(EstimateKind.RUN_TIME).value(), 1_500);
  }

  @Test
  void whatWasToldDecidesBeforeAnythingHasRun() {
    PolicyEngine cold = begun();
    PolicyEngine told = begun();
    told.restore(NAMES, () -> List.of(new Estimate(EstimateKind.RUN_TIME, "safe", 400_000, 10)));
    for (PolicyEngine d : List.of(cold, told)) {
      arrive(d, 3_000_000); // the first runs: nothing else does
    }
    assertEquals(
        List.of(new PolicyCommand.Run(id + 1)), arrive(cold, 200_000), "it knows no better");
    assertEquals(
        1,
        arrive(told, 200_000).stream().filter(o -> o instanceof PolicyCommand.Reject).count(),
        "a run of 400 ms does not fit into 200 ms: turned away at once, not failed later");
  }

  @Test
  void aWrongRunTimeMisleadsForAFewRunsAndIsNoSlowness() {
    PolicyEngine told = begun();
    told.restore(
        NAMES, () -> List.of(new Estimate(EstimateKind.RUN_TIME, "safe", 1, 32))); // far too short
    runs(told, 30, 50_000);
    assertEquals(50_000, byTopic(told).get(EstimateKind.RUN_TIME).value(), 2_000);
    assertEquals(1, arrive(told, 3_000_000).size(), "and it goes on");
  }

  @Test
  void aRunTimeTooLongTurnsAFewAwayAndIsThenForgotten() {
    PolicyEngine told = begun();
    told.restore(
        NAMES,
        () ->
            List.of(
                new Estimate(EstimateKind.RUN_TIME, "safe", 900_000, 32),
                new Estimate(EstimateKind.RUN_TIME, "unsafe", 10_000, 32)));
    told.handle(
        now, new PolicyEvent.Arrived(++id, 2, 0, 0, 3_000_000, 16, 0.5, false, false, 1, 0, 0));
    assertEquals(
        new PolicyCommand.Run(id),
        java.util.stream.Stream.generate(told::nextCommand)
            .filter(o -> o instanceof PolicyCommand.Run)
            .findFirst()
            .orElseThrow()); // never idle from here on
    int refused = 0;
    for (int i = 0; i < 20; i++) {
      refused +=
          arrive(told, 800_000).stream().anyMatch(o -> o instanceof PolicyCommand.Reject) ? 1 : 0;
    }
    assertTrue(
        refused >= 1 && refused <= 8, refused + " were turned away by what was never seen here");
  }

  @Test
  void limitsStayUnderTheCeilingAndCountInPartWhereTheyRestOnLittle() {
    PolicyEngine poisoned = begun();
    poisoned.restore(NAMES, () -> List.of(new Estimate(EstimateKind.LIMIT, "", 90_000, 60)));
    poisoned.tick(now);
    double ceiling = byTopic(poisoned).get(EstimateKind.LIMIT).value();
    assertTrue(ceiling > 4 && ceiling <= 4 * 6, "the crowd that the server survives: " + ceiling);
    PolicyEngine little = begun();
    little.restore(NAMES, () -> List.of(new Estimate(EstimateKind.LIMIT, "", 8, 5)));
    assertEquals(6, byTopic(little).get(EstimateKind.LIMIT).value(), 1e-9);
    assertEquals(
        5, byTopic(little).get(EstimateKind.LIMIT).samples(), 1e-9, "what it rests on is not lost");
    assertEquals(null, byTopic(begun()).get(EstimateKind.LIMIT), "none was in use yet");
  }

  @Test
  void namesThatAreGoneAreLeftOut() {
    PolicyEngine told = begun();
    told.restore(
        NAMES,
        () ->
            List.of(
                new Estimate(EstimateKind.RUN_TIME, "other", 400_000, 10),
                new Estimate(EstimateKind.TENANT_PART, "nobody", 0.4, 10)));
    assertEquals(null, byTopic(told).get(EstimateKind.RUN_TIME));
    runs(told, 3, 10_000);
    assertEquals(
        List.of(),
        told
            .estimates(new ClassAndTenantNames(Arrays.asList(null, "keyed", "unsafe"), List.of()))
            .stream()
            .filter(l -> l.kind() == EstimateKind.RUN_TIME)
            .toList(),
        "a number without a name has no lesson");
  }
}
