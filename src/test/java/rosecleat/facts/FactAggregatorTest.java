package rosecleat.facts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests the decay, rejection and merging of facts, and the selection of changed facts. */
class FactAggregatorTest {
  private static final long NOW_US = 1_800_000_000_000_000L;
  private static final double HALF_LIFE_US = 600e6;
  private final SettingsDigests settings =
      new SettingsDigests(
          "n1",
          "server",
          Map.of("read", "r1"),
          Map.of("team", "t1"),
          Map.of(new Fact.Key(FactKind.RUN_TIME, "read"), 2e6));
  private final FactAggregator aggregator = new FactAggregator(settings, HALF_LIFE_US);

  private static Fact run(double value, double weight, long at) {
    return new Fact(FactKind.RUN_TIME, "read", value, weight, at, "r1");
  }

  private void assertRejected(RejectionReason reason, Fact fact) {
    assertEquals(Optional.of(reason), aggregator.rejectionOf("n1", fact, NOW_US), fact.toString());
  }

  @Test
  void unusableFactIsRejectedWithItsReason() {
    assertEquals(
        Optional.empty(), aggregator.rejectionOf("n1", run(20_000, 8, NOW_US - 1), NOW_US));
    assertEquals(
        Optional.of(RejectionReason.OTHER_NODE),
        aggregator.rejectionOf("n2", run(20_000, 8, NOW_US), NOW_US));
    assertRejected(
        RejectionReason.GONE, new Fact(FactKind.RUN_TIME, "write", 20_000, 8, NOW_US, "r1"));
    assertRejected(RejectionReason.GONE, new Fact(FactKind.LIMIT, "read", 4, 8, NOW_US, "server"));
    assertRejected(
        RejectionReason.OTHER_TERMS, new Fact(FactKind.RUN_TIME, "read", 20_000, 8, NOW_US, "r2"));
    assertRejected(
        RejectionReason.OTHER_TERMS, new Fact(FactKind.TENANT_PART, "team", 0.5, 8, NOW_US, "t2"));
    assertRejected(
        RejectionReason.FUTURE,
        run(20_000, 8, NOW_US + 3_600_000_000L)); // this clock is an hour behind the fact's time
    assertRejected(RejectionReason.FUTURE, run(20_000, 8, -1));
    assertRejected(RejectionReason.AGED, run(20_000, 8, NOW_US - 3 * 86_400_000_000L));
    assertRejected(RejectionReason.RANGE, run(0, 8, NOW_US));
    assertRejected(RejectionReason.RANGE, run(-1, 8, NOW_US));
    assertRejected(RejectionReason.RANGE, run(1e18, 8, NOW_US));
    assertRejected(
        RejectionReason.RANGE, run(3e6, 8, NOW_US)); // longer than a request of this class may take
    assertRejected(RejectionReason.RANGE, run(20_000, 0, NOW_US));
    assertRejected(RejectionReason.NOT_FINITE, run(Double.NaN, 8, NOW_US));
    assertRejected(RejectionReason.NOT_FINITE, run(Double.POSITIVE_INFINITY, 8, NOW_US));
    assertRejected(RejectionReason.NOT_FINITE, run(20_000, Double.NaN, NOW_US));
    assertRejected(
        RejectionReason.RANGE, new Fact(FactKind.TENANT_PART, "team", 1.5, 8, NOW_US, "t1"));
    aggregator.add(
        "n1",
        List.of(run(Double.NaN, 1, NOW_US), run(0, 1, NOW_US), run(20_000, 8, NOW_US)),
        NOW_US);
    assertEquals(
        Map.of(RejectionReason.NOT_FINITE, 1, RejectionReason.RANGE, 1), aggregator.rejections());
    assertEquals(1, aggregator.factsAt(NOW_US).size());
  }

  @Test
  void weightOfFactHalvesWithEachHalfLife() {
    aggregator.add("n1", List.of(run(20_000, 8, NOW_US - 600_000_000)), NOW_US);
    assertEquals(4, aggregator.factsAt(NOW_US).get(0).weight(), 1e-9);
    assertEquals(1, aggregator.factsAt(NOW_US + 1_200_000_000).get(0).weight(), 1e-9);
    assertEquals(
        List.of(), aggregator.factsAt(NOW_US + 86_400_000_000L), "a fact is discarded after a day");
  }

  @Test
  void factOfUnknownSettingsHasHalfItsWeightAndWeightsAreBounded() {
    aggregator.add(
        "n1", List.of(new Fact(FactKind.RUN_TIME, "read", 20_000, 8, NOW_US, "")), NOW_US);
    assertEquals(4, aggregator.factsAt(NOW_US).get(0).weight(), 1e-9);
    aggregator.add("n1", List.of(run(20_000, 1e9, NOW_US)), NOW_US);
    assertEquals(FactKind.RUN_TIME.maxWeight(), aggregator.factsAt(NOW_US).get(0).weight(), 1e-9);
  }

  @Property(tries = 300, seed = "1")
  void mergingIsCommutativeAndStaysBetweenBothValues(
      @ForAll @DoubleRange(min = 1, max = 1e6) double a,
      @ForAll @DoubleRange(min = 1, max = 1e6) double b,
      @ForAll @DoubleRange(min = 0.5, max = 32) double weightA,
      @ForAll @DoubleRange(min = 0.5, max = 32) double weightB,
      @ForAll @LongRange(max = 3_000_000_000L) long ageA,
      @ForAll @LongRange(max = 3_000_000_000L) long ageB) {
    Fact one = run(a, weightA, NOW_US - ageA);
    Fact two = run(b, weightB, NOW_US - ageB);
    Fact merged = one.mergedWith(two, HALF_LIFE_US);
    Fact reversed = two.mergedWith(one, HALF_LIFE_US);
    assertEquals(merged.value(), reversed.value(), 1e-6 * merged.value());
    assertEquals(merged.weight(), reversed.weight(), 1e-9);
    assertTrue(
        merged.value() >= Math.min(a, b) * (1 - 1e-9)
            && merged.value() <= Math.max(a, b) * (1 + 1e-9));
    assertTrue(
        merged.weight() <= Math.min(weightA + weightB, FactKind.RUN_TIME.maxWeight()) + 1e-9);
    assertEquals(NOW_US - Math.min(ageA, ageB), merged.learnedAtUs());
  }

  @Test
  void onlyChangedFactsArePersistedAgain() {
    FactChangeFilter changes = new FactChangeFilter();
    List<Fact> first = List.of(run(20_000, 8, NOW_US));
    assertEquals(first, changes.changed(first, HALF_LIFE_US));
    assertEquals(
        first,
        changes.changed(first, HALF_LIFE_US),
        "a fact is selected until it is marked as persisted");
    changes.markPersisted(first);
    assertEquals(
        List.of(), changes.changed(List.of(run(20_100, 9, NOW_US + 1_000_000)), HALF_LIFE_US));
    assertEquals(
        1,
        changes.changed(List.of(run(21_000, 8, NOW_US)), HALF_LIFE_US).size(),
        "a changed value is persisted again");
    assertEquals(
        1,
        changes.changed(List.of(run(20_000, 16, NOW_US)), HALF_LIFE_US).size(),
        "a changed weight is persisted again");
    assertEquals(
        1,
        changes.changed(List.of(run(20_000, 8, NOW_US + 60_000_000)), HALF_LIFE_US).size(),
        "an old persisted time is persisted again");
    changes.reset();
    assertEquals(1, changes.changed(first, HALF_LIFE_US).size());
  }
}
