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

/** Tests the indices of names over random sequences of updates against a model. */
class NameIndexTest {
  @Property(tries = 300, seed = "20261202")
  void indicesInUseAreNotReassignedAndListsStayBounded(
      @ForAll @Size(min = 1, max = 30)
          List<@Size(max = 4) Set<@IntRange(max = 40) Integer>> updates,
      @ForAll @Size(min = 30, max = 30) List<Boolean> staysInUse) {
    NameIndex<String> index = new NameIndex<>();
    Map<Integer, String> inUse = new HashMap<>(); // index -> name that had it when its use began
    int maxInUse = 0;
    for (int round = 0; round < updates.size(); round++) {
      List<String> names = updates.get(round).stream().map(n -> "class-" + n).toList();
      List<String> values = names.stream().map(NameIndexTest::valueOf).toList();
      Set<Integer> renamed = new HashSet<>(index.update(names, values, inUse::containsKey));
      Set<Integer> seen = new HashSet<>();
      for (String name : names) {
        int position = index.indexOf(name);
        assertTrue(seen.add(position), "two names have the same index");
        assertEquals(name, index.names().get(position));
        assertEquals(valueOf(name), index.values().get(position));
      }
      inUse.forEach(
          (position, name) -> {
            assertTrue(!renamed.contains(position), "an index in use was reassigned");
            assertEquals(valueOf(name), index.values().get(position));
          });
      if (!staysInUse.get(round)) {
        inUse.clear();
      }
      names.stream().limit(1).forEach(name -> inUse.put(index.indexOf(name), name));
      maxInUse = Math.max(maxInUse, inUse.size());
      assertTrue(
          index.names().size() <= 4 + 4 + maxInUse, "lists exceed their bound: " + index.names());
    }
  }

  private static String valueOf(String name) {
    return "terms of " + name;
  }
}
