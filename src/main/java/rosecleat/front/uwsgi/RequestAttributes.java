package rosecleat.front.uwsgi;

import java.util.AbstractMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The vars of a request with some replaced, as an unmodifiable map that copies none of them. Only
 * {@link #entrySet} builds a map of all, for the moment in which the request is sent on.
 */
final class RequestAttributes extends AbstractMap<String, String> {
  private final Map<String, String> vars;
  private final Map<String, String> replacements;
  private final Set<String> removed;

  /**
   * Combines vars with replacements.
   *
   * @param vars the vars as received
   * @param replacements values that take the place of vars, or are added to them
   * @param removed the names of vars that are left out
   */
  RequestAttributes(
      Map<String, String> vars, Map<String, String> replacements, Set<String> removed) {
    this.vars = vars;
    this.replacements = Map.copyOf(replacements);
    this.removed = Set.copyOf(removed);
  }

  @Override
  public boolean containsKey(Object name) {
    return get(name) != null;
  }

  @Override
  public String get(Object name) {
    String replacement = replacements.get(name);
    if (replacement != null) {
      return replacement;
    }
    return removed.contains(name) ? null : vars.get(name);
  }

  @Override
  public Set<Map.Entry<String, String>> entrySet() {
    Map<String, String> all = new HashMap<>(vars);
    all.keySet().removeAll(removed);
    all.putAll(replacements);
    return Map.copyOf(all).entrySet();
  }
}
