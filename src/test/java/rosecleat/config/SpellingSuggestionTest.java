package rosecleat.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** Suggestions for misspelt keys, and the edit distance on which they are based. */
class SpellingSuggestionTest {
  @Test
  void nearestKnownKeyIsSuggestedWithinThreeEdits() {
    List<String> known = List.of("connections", "listen", "vars");
    assertEquals(Optional.of("connections"), SpellingSuggestion.nearest("conections", known));
    assertEquals(Optional.of("listen"), SpellingSuggestion.nearest("lissen", known));
    assertEquals(Optional.empty(), SpellingSuggestion.nearest("zebra", known));
  }

  @Test
  void knownKeyNotLongerThanItsEditDistanceIsNotSuggested() {
    assertEquals(Optional.empty(), SpellingSuggestion.nearest("xyz", List.of("kb", "abc")));
  }

  @Property
  void distanceIsSymmetricAndBoundedByTheLongerWord(
      @ForAll @AlphaChars @StringLength(max = 8) String first,
      @ForAll @AlphaChars @StringLength(max = 8) String second) {
    int distance = SpellingSuggestion.editDistance(first, second);
    assertEquals(distance, SpellingSuggestion.editDistance(second, first));
    assertEquals(first.equals(second), distance == 0);
    assertEquals(true, distance <= Math.max(first.length(), second.length()));
    assertEquals(true, distance >= Math.abs(first.length() - second.length()));
  }
}
