package rosecleat.config;

import java.util.ArrayList;
import java.util.List;
import rosecleat.policy.PriorityClass;

/**
 * The classes of the node's settings and those that contracts add behind them. Contracts of one
 * name with different terms have a class each.
 */
final class ClassTable {
  private final List<PriorityClass> classes;
  private final List<String> names;

  ClassTable(NamedSettings settings) {
    classes = new ArrayList<>(settings.policy().classes());
    names = new ArrayList<>(settings.classNames());
  }

  /** The first class of a name; null where there is none. */
  PriorityClass find(String name) {
    int index = names.indexOf(name);
    return index < 0 ? null : classes.get(index);
  }

  /** The index of a class of this name with these terms, which is added where there is none. */
  int findOrAdd(String name, PriorityClass priorityClass) {
    for (int index = 0; index < classes.size(); index++) {
      if (names.get(index).equals(name) && classes.get(index).equals(priorityClass)) {
        return index;
      }
    }
    classes.add(priorityClass);
    names.add(name);
    return classes.size() - 1;
  }

  PriorityClass get(int index) {
    return classes.get(index);
  }

  List<PriorityClass> classes() {
    return List.copyOf(classes);
  }

  List<String> names() {
    return List.copyOf(names);
  }
}
