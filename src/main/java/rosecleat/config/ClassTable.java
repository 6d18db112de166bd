package rosecleat.config;

import java.util.ArrayList;
import java.util.List;
import rosecleat.policy.PriorityClass;

/**
 * The request classes of the node's settings, followed by those that contracts add. Contracts that
 * use the same class name with different terms each have a class of their own.
 */
final class ClassTable {
  private final List<PriorityClass> classes;
  private final List<String> names;

  ClassTable(NamedSettings settings) {
    classes = new ArrayList<>(settings.policy().classes());
    names = new ArrayList<>(settings.classNames());
  }

  /** Returns the first class with this name, or null if there is none. */
  PriorityClass find(String name) {
    int index = names.indexOf(name);
    return index < 0 ? null : classes.get(index);
  }

  /** Returns the index of the class with this name and these terms; adds the class if absent. */
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
