package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests that estimates learned by one policy can be restored into another. */
class EstimatesTest {
  private static final ClassAndTenantNames NAMES =
      new ClassAndTenantNames(List.of("safe", "keyed", "unsafe"), List.of());
  private long now = 1_000_000;
  private long id;

  private PolicyEngine started() {
    PolicyEngine engine =
        new PolicyEngine(TestSettings.plain(), List.of("core_use", "on_cores"), 7);
    engine.start(now, false);
    return engine;
  }

  /**
   * Sends one request of the first class now, and returns the commands that run or answer requests.
   */
  private List<PolicyCommand> arrive(PolicyEngine engine, long timeoutUs) {
    engine.handle(
        now, new PolicyEvent.Arrived(++id, 0, 0, 0, timeoutUs, 16, 0.5, false, false, 1, 0, 0));
    return Stream.generate(engine::nextCommand)
        .takeWhile(Objects::nonNull)
        .filter(
            command ->
                command instanceof PolicyCommand.Run
                    || command instanceof PolicyCommand.Reject
                    || command instanceof PolicyCommand.Fail)
        .toList();
  }

  private void completeRuns(PolicyEngine engine, int count, long tookUs) {
    for (int i = 0; i < count; i++) {
      assertEquals(List.of(new PolicyCommand.Run(id + 1)), arrive(engine, 3_000_000));
      now += tookUs;
      engine.handle(now, new PolicyEvent.Ended(id, RunOutcome.OK, tookUs));
      engine.tick(now);
    }
  }

  private static Map<EstimateKind, Estimate> byKind(PolicyEngine engine) {
    return engine.estimates(NAMES).stream()
        .collect(Collectors.toMap(Estimate::kind, estimate -> estimate, (a, b) -> a));
  }

  @Test
  void restoredRunTimeIsReportedUntilEnoughRunsAreObserved() {
    PolicyEngine first = started();
    completeRuns(first, 20, 50_000);
    Estimate learned = byKind(first).get(EstimateKind.RUN_TIME);
    assertEquals("safe", learned.subject());
    assertEquals(50_000, learned.value(), 1_000);
    assertEquals(20, learned.samples());
    Estimate restoredEstimate = new Estimate(EstimateKind.RUN_TIME, "safe", learned.value(), 8);

    PolicyEngine second =
        new PolicyEngine(TestSettings.plain(), List.of("core_use", "on_cores"), 7);
    // the engine has not started, so it restores the estimates at its start
    second.restore(NAMES, () -> first.estimates(NAMES));
    second.start(now, false);
    assertEquals(
        restoredEstimate,
        byKind(second).get(EstimateKind.RUN_TIME),
        "the restored run time is reported until as many runs are observed");
    completeRuns(second, 4, 10_000);
    assertEquals(50_000, byKind(second).get(EstimateKind.RUN_TIME).value(), 1_000);
    completeRuns(second, 20, 10_000);
    assertEquals(10_000, byKind(second).get(EstimateKind.RUN_TIME).value(), 1_500);
  }

  @Test
  void restoredRunTimeIsUsedBeforeFirstRunEnds() {
    PolicyEngine withoutEstimates = started();
    PolicyEngine restored = started();
    restored.restore(
        NAMES, () -> List.of(new Estimate(EstimateKind.RUN_TIME, "safe", 400_000, 10)));
    for (PolicyEngine engine : List.of(withoutEstimates, restored)) {
      arrive(engine, 3_000_000); // the first request starts, as nothing else runs
    }
    assertEquals(
        List.of(new PolicyCommand.Run(id + 1)),
        arrive(withoutEstimates, 200_000),
        "without an estimate the request is started");
    assertEquals(
        1,
        arrive(restored, 200_000).stream()
            .filter(command -> command instanceof PolicyCommand.Reject)
            .count(),
        "a run of 400 ms does not fit into 200 ms, so it is rejected at once instead of failing"
            + " later");
  }

  @Test
  void tooShortRestoredRunTimeIsReplacedAfterFewRuns() {
    PolicyEngine restored = started();
    restored.restore(
        NAMES, () -> List.of(new Estimate(EstimateKind.RUN_TIME, "safe", 1, 32))); // far too short
    completeRuns(restored, 30, 50_000);
    assertEquals(50_000, byKind(restored).get(EstimateKind.RUN_TIME).value(), 2_000);
    assertEquals(1, arrive(restored, 3_000_000).size(), "requests are still started");
  }

  @Test
  void tooLongRestoredRunTimeIsDroppedAfterFewRejections() {
    PolicyEngine restored = started();
    restored.restore(
        NAMES,
        () ->
            List.of(
                new Estimate(EstimateKind.RUN_TIME, "safe", 900_000, 32),
                new Estimate(EstimateKind.RUN_TIME, "unsafe", 10_000, 32)));
    restored.handle(
        now, new PolicyEvent.Arrived(++id, 2, 0, 0, 3_000_000, 16, 0.5, false, false, 1, 0, 0));
    assertEquals(
        new PolicyCommand.Run(id),
        Stream.generate(restored::nextCommand)
            .filter(command -> command instanceof PolicyCommand.Run)
            .findFirst()
            .orElseThrow()); // keeps the server from being idle
    int rejected = 0;
    for (int i = 0; i < 20; i++) {
      rejected +=
          arrive(restored, 800_000).stream()
                  .anyMatch(command -> command instanceof PolicyCommand.Reject)
              ? 1
              : 0;
    }
    assertTrue(
        rejected >= 1 && rejected <= 8,
        rejected + " requests were rejected by the restored run time");
  }

  @Test
  void restoredLimitIsCappedAndCountsInPartIfBasedOnFewSeconds() {
    PolicyEngine tooHigh = started();
    tooHigh.restore(NAMES, () -> List.of(new Estimate(EstimateKind.LIMIT, "", 90_000, 60)));
    tooHigh.tick(now);
    double ceiling = byKind(tooHigh).get(EstimateKind.LIMIT).value();
    assertTrue(ceiling > 4 && ceiling <= 4 * 6, "limit outside 4 to 24: " + ceiling);
    PolicyEngine fromFewSeconds = started();
    fromFewSeconds.restore(NAMES, () -> List.of(new Estimate(EstimateKind.LIMIT, "", 8, 5)));
    assertEquals(6, byKind(fromFewSeconds).get(EstimateKind.LIMIT).value(), 1e-9);
    assertEquals(
        5,
        byKind(fromFewSeconds).get(EstimateKind.LIMIT).samples(),
        1e-9,
        "the seconds of use are restored");
    assertEquals(null, byKind(started()).get(EstimateKind.LIMIT), "no limit has been in use yet");
  }

  @Test
  void estimatesOfUnknownNamesAreIgnored() {
    PolicyEngine restored = started();
    restored.restore(
        NAMES,
        () ->
            List.of(
                new Estimate(EstimateKind.RUN_TIME, "other", 400_000, 10),
                new Estimate(EstimateKind.TENANT_PART, "nobody", 0.4, 10)));
    assertEquals(null, byKind(restored).get(EstimateKind.RUN_TIME));
    completeRuns(restored, 3, 10_000);
    assertEquals(
        List.of(),
        restored
            .estimates(new ClassAndTenantNames(Arrays.asList(null, "keyed", "unsafe"), List.of()))
            .stream()
            .filter(estimate -> estimate.kind() == EstimateKind.RUN_TIME)
            .toList(),
        "classes without a name have no estimate");
  }
}
