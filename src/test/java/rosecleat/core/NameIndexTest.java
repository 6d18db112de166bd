package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * The numbers of names over many lists, against a model: what a number in use stands for must not
 * change.
 */
class NameIndexTest {
  @Property(tries = 300, seed = "20261202")
  void aNumberInUseKeepsItsNameAndListsDoNotGrow(
      @ForAll @Size(min = 1, max = 30) List<@Size(max = 4) Set<@IntRange(max = 40) Integer>> lists,
      @ForAll @Size(min = 30, max = 30) List<Boolean> holds) {
    NameIndex<String> numbers = new NameIndex<>();
    Map<Integer, String> used = new HashMap<>(); // number to the name its user came with
    int most = 0;
    for (int round = 0; round < lists.size(); round++) {
      List<String> names = lists.get(round).stream().map(n -> "class-" + n).toList();
      List<String> terms = names.stream().map(n -> "terms of " + n).toList();
      Set<Integer> renamed = new HashSet<>(numbers.take(names, terms, used::containsKey));
      Set<Integer> seen = new HashSet<>();
      for (String name : names) {
        int number = numbers.of(name);
        assertTrue(seen.add(number), "two names have one number");
        assertEquals(name, numbers.names().get(number));
        assertEquals("terms of " + name, numbers.terms().get(number));
      }
      used.forEach(
          (number, name) -> {
            assertTrue(!renamed.contains(number), "a number in use was given away");
            assertEquals("terms of " + name, numbers.terms().get(number));
          });
      if (!holds.get(round)) {
        used.clear();
      }
      names.stream().limit(1).forEach(name -> used.put(numbers.of(name), name));
      most = Math.max(most, used.size());
      assertTrue(numbers.names().size() <= 4 + 4 + most, "lists grow: " + numbers.names());
    }
  }
}
