package rosecleat.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Assigns indices to names, each with a value. A name keeps its index over any number of updates. A
 * removed name keeps it as long as the index is in use, and gets it back if it returns; only then
 * may another name have the index, so that endless updates do not grow the lists. Not thread-safe.
 *
 * @param <T> what is stored for each name
 */
public final class NameIndex<T> {
  private static final int UNKNOWN = -1;

  private final List<String> names = new ArrayList<>();
  private final List<T> values = new ArrayList<>();
  private final Set<Integer> current = new HashSet<>();

  /**
   * Replaces the current names and their values.
   *
   * @param updatedNames the names, each once
   * @param updatedValues the value of each name, in the same order
   * @param inUse whether an index is still in use and must keep its meaning
   * @return the indices that belong to another name than before, new ones included
   */
  public List<Integer> update(
      List<String> updatedNames, List<T> updatedValues, IntPredicate inUse) {
    Map<String, Integer> assigned = new HashMap<>();
    for (int index = 0; index < names.size(); index++) {
      assigned.put(names.get(index), index);
    }
    current.clear();
    updatedNames.forEach(name -> current.add(assigned.getOrDefault(name, UNKNOWN)));
    current.remove(UNKNOWN);
    List<Integer> renamed = new ArrayList<>();
    for (int i = 0; i < updatedNames.size(); i++) {
      Integer index = assigned.get(updatedNames.get(i));
      if (index == null) {
        index = allocate(inUse);
        names.set(index, updatedNames.get(i));
        renamed.add(index);
        current.add(index);
      }
      values.set(index, updatedValues.get(i));
    }
    return renamed;
  }

  private int allocate(IntPredicate inUse) {
    for (int index = 0; index < names.size(); index++) {
      if (!current.contains(index) && !inUse.test(index)) {
        return index;
      }
    }
    names.add("");
    values.add(null);
    return names.size() - 1;
  }

  /** The index of a current name. */
  public int indexOf(String name) {
    return names.indexOf(name);
  }

  /** The names by index; null in place of each that is not current. */
  public List<String> names() {
    List<String> all = new ArrayList<>();
    for (int index = 0; index < names.size(); index++) {
      all.add(current.contains(index) ? names.get(index) : null);
    }
    return Collections.unmodifiableList(all);
  }

  /** The values by index; that of a removed name is its last. */
  public List<T> values() {
    return List.copyOf(values);
  }
}
