package rosecleat.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import rosecleat.facts.Fact;
import rosecleat.facts.FactKind;
import rosecleat.facts.SettingsDigests;
import rosecleat.policy.Estimate;

/** Tests the conversion between estimates and facts. */
class EstimateConverterTest {
  private static final long NOW_US = 1_800_000_000_000_000L;
  private static final SettingsDigests SETTINGS =
      new SettingsDigests("n1", "server", Map.of("read", "r1"), Map.of("team", "t1"), Map.of());

  private static String subjectOf(FactKind kind) {
    return switch (kind.subjectType()) {
      case CLASS -> "read";
      case TENANT -> "team";
      case NODE -> "";
    };
  }

  @Test
  void factOfEachKindIsUnchangedByRoundTrip() {
    for (FactKind kind : FactKind.values()) {
      String digest = SETTINGS.digestOf(kind, subjectOf(kind)).orElseThrow();
      Fact fact = new Fact(kind, subjectOf(kind), 1, 2, NOW_US, digest);
      Estimate estimate = EstimateConverter.toEstimate(fact);
      assertEquals(fact, EstimateConverter.toFact(estimate, SETTINGS, NOW_US));
      assertTrue(EstimateConverter.isStorable(fact, SETTINGS));
    }
  }

  @Test
  void factOfUnknownSubjectOrWithoutWeightIsNotStorable() {
    Fact unknown = new Fact(FactKind.RUN_TIME, "write", 1, 2, NOW_US, "");
    Fact weightless = new Fact(FactKind.RUN_TIME, "read", 1, 0, NOW_US, "r1");
    assertFalse(EstimateConverter.isStorable(unknown, SETTINGS));
    assertFalse(EstimateConverter.isStorable(weightless, SETTINGS));
  }
}
