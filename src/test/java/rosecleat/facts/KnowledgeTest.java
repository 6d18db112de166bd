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

/** How facts age, which are dropped and how two are joined. */
class KnowledgeTest {
  private static final long NOW = 1_800_000_000_000_000L;
  private static final double HALF_LIFE = 600e6;
  private final Terms terms =
      new Terms(
          "n1",
          "server",
          Map.of("read", "r1"),
          Map.of("team", "t1"),
          Map.of(new Fact.Name(Kind.RUN_TIME, "read"), 2e6));
  private final Knowledge knowledge = new Knowledge(terms, HALF_LIFE);

  private static Fact run(double value, double weight, long at) {
    return new Fact(Kind.RUN_TIME, "read", value, weight, at, "r1");
  }

  private void dropped(Drop why, Fact fact) {
    assertEquals(Optional.of(why), knowledge.judge("n1", fact, NOW), fact.toString());
  }

  @Test
  void whatCantBeTrueHereIsDropped() {
    assertEquals(Optional.empty(), knowledge.judge("n1", run(20_000, 8, NOW - 1), NOW));
    assertEquals(Optional.of(Drop.OTHER_NODE), knowledge.judge("n2", run(20_000, 8, NOW), NOW));
    dropped(Drop.GONE, new Fact(Kind.RUN_TIME, "write", 20_000, 8, NOW, "r1"));
    dropped(Drop.GONE, new Fact(Kind.LIMIT, "read", 4, 8, NOW, "server"));
    dropped(Drop.OTHER_TERMS, new Fact(Kind.RUN_TIME, "read", 20_000, 8, NOW, "r2"));
    dropped(Drop.OTHER_TERMS, new Fact(Kind.TENANT_PART, "team", 0.5, 8, NOW, "t2"));
    dropped(
        Drop.FUTURE,
        run(20_000, 8, NOW + 3_600_000_000L)); // the clock stands an hour before the file
    dropped(Drop.FUTURE, run(20_000, 8, -1));
    dropped(Drop.AGED, run(20_000, 8, NOW - 3 * 86_400_000_000L));
    dropped(Drop.RANGE, run(0, 8, NOW));
    dropped(Drop.RANGE, run(-1, 8, NOW));
    dropped(Drop.RANGE, run(1e18, 8, NOW));
    dropped(Drop.RANGE, run(3e6, 8, NOW)); // longer than a request of the class may take
    dropped(Drop.RANGE, run(20_000, 0, NOW));
    dropped(Drop.NOT_FINITE, run(Double.NaN, 8, NOW));
    dropped(Drop.NOT_FINITE, run(Double.POSITIVE_INFINITY, 8, NOW));
    dropped(Drop.NOT_FINITE, run(20_000, Double.NaN, NOW));
    dropped(Drop.RANGE, new Fact(Kind.TENANT_PART, "team", 1.5, 8, NOW, "t1"));
    knowledge.take(
        "n1", List.of(run(Double.NaN, 1, NOW), run(0, 1, NOW), run(20_000, 8, NOW)), NOW);
    assertEquals(Map.of(Drop.NOT_FINITE, 1, Drop.RANGE, 1), knowledge.dropped());
    assertEquals(1, knowledge.at(NOW).size());
  }

  @Test
  void aFactLosesHalfItsWeightInAHalfLife() {
    knowledge.take("n1", List.of(run(20_000, 8, NOW - 600_000_000)), NOW);
    assertEquals(4, knowledge.at(NOW).get(0).weight(), 1e-9);
    assertEquals(1, knowledge.at(NOW + 1_200_000_000).get(0).weight(), 1e-9);
    assertEquals(List.of(), knowledge.at(NOW + 86_400_000_000L), "nothing is left after a day");
  }

  @Test
  void aFactOfOldCountsHalfAndAWeightIsBounded() {
    knowledge.take("n1", List.of(new Fact(Kind.RUN_TIME, "read", 20_000, 8, NOW, "")), NOW);
    assertEquals(4, knowledge.at(NOW).get(0).weight(), 1e-9);
    knowledge.take("n1", List.of(run(20_000, 1e9, NOW)), NOW);
    assertEquals(Kind.RUN_TIME.mostWeight(), knowledge.at(NOW).get(0).weight(), 1e-9);
  }

  @Property(tries = 300, seed = "1")
  void twoAreJoinedByWeightInEitherOrder(
      @ForAll @DoubleRange(min = 1, max = 1e6) double a,
      @ForAll @DoubleRange(min = 1, max = 1e6) double b,
      @ForAll @DoubleRange(min = 0.5, max = 32) double weightA,
      @ForAll @DoubleRange(min = 0.5, max = 32) double weightB,
      @ForAll @LongRange(max = 3_000_000_000L) long ageA,
      @ForAll @LongRange(max = 3_000_000_000L) long ageB) {
    Fact one = run(a, weightA, NOW - ageA);
    Fact two = run(b, weightB, NOW - ageB);
    Fact joined = one.joined(two, HALF_LIFE);
    Fact other = two.joined(one, HALF_LIFE);
    assertEquals(joined.value(), other.value(), 1e-6 * joined.value());
    assertEquals(joined.weight(), other.weight(), 1e-9);
    assertTrue(
        joined.value() >= Math.min(a, b) * (1 - 1e-9)
            && joined.value() <= Math.max(a, b) * (1 + 1e-9));
    assertTrue(joined.weight() <= Math.min(weightA + weightB, Kind.RUN_TIME.mostWeight()) + 1e-9);
    assertEquals(NOW - Math.min(ageA, ageB), joined.atUs());
  }

  @Test
  void onlyWhatMovedIsToldAgain() {
    Changes changes = new Changes();
    List<Fact> first = List.of(run(20_000, 8, NOW));
    assertEquals(first, changes.of(first, HALF_LIFE));
    assertEquals(first, changes.of(first, HALF_LIFE), "until it is written down");
    changes.told(first);
    assertEquals(List.of(), changes.of(List.of(run(20_100, 9, NOW + 1_000_000)), HALF_LIFE));
    assertEquals(1, changes.of(List.of(run(21_000, 8, NOW)), HALF_LIFE).size(), "another value");
    assertEquals(1, changes.of(List.of(run(20_000, 16, NOW)), HALF_LIFE).size(), "another weight");
    assertEquals(
        1,
        changes.of(List.of(run(20_000, 8, NOW + 60_000_000)), HALF_LIFE).size(),
        "it would look old");
    changes.lost();
    assertEquals(1, changes.of(first, HALF_LIFE).size());
  }
}
