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
 * The numbers that names go by inside, with what each stands for. A name keeps its number over any
 * number of lists; one that is dropped keeps it while something uses it, and comes back to it. Only
 * then may another name have it, so lists that change for ever do not grow.
 */
public final class NameIndex<T> {
  private final List<String> names = new ArrayList<>();
  private final List<T> terms = new ArrayList<>();
  private final Set<Integer> current = new HashSet<>();

  /**
   * Takes a new list of names (each once) with their terms.
   *
   * @param used whether something still goes by a number
   * @return the numbers that stand for another name than before, new ones included
   */
  public List<Integer> take(List<String> fresh, List<T> freshTerms, IntPredicate used) {
    Map<String, Integer> known = new HashMap<>();
    for (int n = 0; n < names.size(); n++) {
      known.put(names.get(n), n);
    }
    current.clear();
    fresh.forEach(name -> current.add(known.getOrDefault(name, -1)));
    current.remove(-1);
    List<Integer> renamed = new ArrayList<>();
    for (int i = 0; i < fresh.size(); i++) {
      Integer number = known.get(fresh.get(i));
      if (number == null) {
        number = free(used);
        names.set(number, fresh.get(i));
        renamed.add(number);
        current.add(number);
      }
      terms.set(number, freshTerms.get(i));
    }
    return renamed;
  }

  private int free(IntPredicate used) {
    for (int n = 0; n < names.size(); n++) {
      if (!current.contains(n) && !used.test(n)) {
        return n;
      }
    }
    names.add("");
    terms.add(null);
    return names.size() - 1;
  }

  /** The number of a name of the last list. */
  public int of(String name) {
    return names.indexOf(name);
  }

  /** The names by number; null for those that are not on the last list. */
  public List<String> names() {
    List<String> all = new ArrayList<>();
    for (int n = 0; n < names.size(); n++) {
      all.add(current.contains(n) ? names.get(n) : null);
    }
    return Collections.unmodifiableList(all);
  }

  /** What each number stands for, or stood for last. */
  public List<T> terms() {
    return List.copyOf(terms);
  }
}
