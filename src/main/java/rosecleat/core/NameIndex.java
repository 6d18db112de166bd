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
 * Assigns indices to names and stores a value for each. A name keeps its index over any number of
 * updates. A name that is removed and added again gets its old index back, unless that was
 * reassigned in the meantime. The index of a removed name may be reassigned to another name once it
 * is no longer in use, so that the lists do not grow with the number of updates. Not thread-safe.
 *
 * @param <T> the type of the values
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
   * @param inUse whether an index is still in use and must not be reassigned
   * @return the indices that were assigned or reassigned to a name by this update
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

  /** Returns the index of a current name. */
  public int indexOf(String name) {
    return names.indexOf(name);
  }

  /** Returns the names by index, with null for each removed name. */
  public List<String> names() {
    List<String> all = new ArrayList<>();
    for (int index = 0; index < names.size(); index++) {
      all.add(current.contains(index) ? names.get(index) : null);
    }
    return Collections.unmodifiableList(all);
  }

  /** Returns the values by index. A removed name has its last value. */
  public List<T> values() {
    return List.copyOf(values);
  }
}
