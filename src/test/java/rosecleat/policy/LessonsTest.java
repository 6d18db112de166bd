package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import rosecleat.policy.Decisions.Lesson;
import rosecleat.policy.Decisions.Names;
import rosecleat.policy.Decisions.Order;
import rosecleat.policy.Decisions.Report;
import rosecleat.policy.Decisions.RunOutcome;
import rosecleat.policy.Decisions.Topic;

/** What one module has learnt, taken in by another. */
class LessonsTest {
  private static final Names NAMES = new Names(List.of("safe", "keyed", "unsafe"), List.of());
  private long now = 1_000_000;
  private long id;

  private Decisions begun() {
    Decisions decisions = new Decisions(Sites.plain(), List.of("core_use", "on_cores"), 7);
    decisions.begin(now, false);
    return decisions;
  }

  /** One request of the first class that comes now; what became of it at once. */
  private List<Order> arrive(Decisions decisions, long leftUs) {
    decisions.report(
        now, new Report.Arrived(++id, 0, 0, 0, leftUs, 16, 0.5, false, false, 1, 0, 0));
    return java.util.stream.Stream.generate(decisions::pick)
        .takeWhile(o -> o != null)
        .filter(o -> o instanceof Order.Run || o instanceof Order.Refuse || o instanceof Order.Fail)
        .toList();
  }

  private void runs(Decisions decisions, int count, long tookUs) {
    for (int i = 0; i < count; i++) {
      assertEquals(List.of(new Order.Run(id + 1)), arrive(decisions, 3_000_000));
      now += tookUs;
      decisions.report(now, new Report.Ended(id, RunOutcome.OK, tookUs));
      decisions.tick(now);
    }
  }

  private static Map<Topic, Lesson> byTopic(Decisions decisions) {
    return decisions.learnt(NAMES).stream()
        .collect(Collectors.toMap(Lesson::topic, l -> l, (a, b) -> a));
  }

  @Test
  void aRunTimeIsPassedOnAndOvertakenByWhatIsSeen() {
    Decisions first = begun();
    runs(first, 20, 50_000);
    Lesson learnt = byTopic(first).get(Topic.RUN_TIME);
    assertEquals("safe", learnt.of());
    assertEquals(50_000, learnt.value(), 1_000);
    assertEquals(20, learnt.samples());
    Lesson passedOn = new Lesson(Topic.RUN_TIME, "safe", learnt.value(), 8);

    Decisions second = new Decisions(Sites.plain(), List.of("core_use", "on_cores"), 7);
    second.teach(NAMES, () -> first.learnt(NAMES)); // it has not begun: taken in then
    second.begin(now, false);
    assertEquals(
        passedOn,
        byTopic(second).get(Topic.RUN_TIME),
        "passed on until it has seen as much itself");
    runs(second, 4, 10_000);
    assertEquals(50_000, byTopic(second).get(Topic.RUN_TIME).value(), 1_000);
    runs(second, 20, 10_000);
    assertEquals(10_000, byTopic(second).get(Topic.RUN_TIME).value(), 1_500);
  }

  @Test
  void whatWasToldDecidesBeforeAnythingHasRun() {
    Decisions cold = begun();
    Decisions told = begun();
    told.teach(NAMES, () -> List.of(new Lesson(Topic.RUN_TIME, "safe", 400_000, 10)));
    for (Decisions d : List.of(cold, told)) {
      arrive(d, 3_000_000); // the first runs: nothing else does
    }
    assertEquals(List.of(new Order.Run(id + 1)), arrive(cold, 200_000), "it knows no better");
    assertEquals(
        1,
        arrive(told, 200_000).stream().filter(o -> o instanceof Order.Refuse).count(),
        "a run of 400 ms does not fit into 200 ms: turned away at once, not failed later");
  }

  @Test
  void aWrongRunTimeMisleadsForAFewRunsAndIsNoSlowness() {
    Decisions told = begun();
    told.teach(NAMES, () -> List.of(new Lesson(Topic.RUN_TIME, "safe", 1, 32))); // far too short
    runs(told, 30, 50_000);
    assertEquals(50_000, byTopic(told).get(Topic.RUN_TIME).value(), 2_000);
    assertEquals(1, arrive(told, 3_000_000).size(), "and it goes on");
  }

  @Test
  void aRunTimeTooLongTurnsAFewAwayAndIsThenForgotten() {
    Decisions told = begun();
    told.teach(
        NAMES,
        () ->
            List.of(
                new Lesson(Topic.RUN_TIME, "safe", 900_000, 32),
                new Lesson(Topic.RUN_TIME, "unsafe", 10_000, 32)));
    told.report(now, new Report.Arrived(++id, 2, 0, 0, 3_000_000, 16, 0.5, false, false, 1, 0, 0));
    assertEquals(
        new Order.Run(id),
        java.util.stream.Stream.generate(told::pick)
            .filter(o -> o instanceof Order.Run)
            .findFirst()
            .orElseThrow()); // never idle from here on
    int refused = 0;
    for (int i = 0; i < 20; i++) {
      refused += arrive(told, 800_000).stream().anyMatch(o -> o instanceof Order.Refuse) ? 1 : 0;
    }
    assertTrue(
        refused >= 1 && refused <= 8, refused + " were turned away by what was never seen here");
  }

  @Test
  void limitsStayUnderTheCeilingAndCountInPartWhereTheyRestOnLittle() {
    Decisions poisoned = begun();
    poisoned.teach(NAMES, () -> List.of(new Lesson(Topic.LIMIT, "", 90_000, 60)));
    poisoned.tick(now);
    double ceiling = byTopic(poisoned).get(Topic.LIMIT).value();
    assertTrue(ceiling > 4 && ceiling <= 4 * 6, "the crowd that the server survives: " + ceiling);
    Decisions little = begun();
    little.teach(NAMES, () -> List.of(new Lesson(Topic.LIMIT, "", 8, 5)));
    assertEquals(6, byTopic(little).get(Topic.LIMIT).value(), 1e-9);
    assertEquals(
        5, byTopic(little).get(Topic.LIMIT).samples(), 1e-9, "what it rests on is not lost");
    assertEquals(null, byTopic(begun()).get(Topic.LIMIT), "none was in use yet");
  }

  @Test
  void namesThatAreGoneAreLeftOut() {
    Decisions told = begun();
    told.teach(
        NAMES,
        () ->
            List.of(
                new Lesson(Topic.RUN_TIME, "other", 400_000, 10),
                new Lesson(Topic.TENANT_PART, "nobody", 0.4, 10)));
    assertEquals(null, byTopic(told).get(Topic.RUN_TIME));
    runs(told, 3, 10_000);
    assertEquals(
        List.of(),
        told.learnt(new Names(Arrays.asList(null, "keyed", "unsafe"), List.of())).stream()
            .filter(l -> l.topic() == Topic.RUN_TIME)
            .toList(),
        "a number without a name has no lesson");
  }
}
