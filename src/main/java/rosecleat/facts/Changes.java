package rosecleat.facts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which facts are worth writing down again: those that moved since they last were, or whose time
 * has become old.
 */
public final class Changes {
  /** A value that moved by less of itself is the same. */
  private static final double MOVED = 0.02;

  /** A weight that moved by less of itself is the same. */
  private static final double WEIGHED = 0.25;

  /**
   * After such a part of its half-life a fact is told again, else it would look older than it is.
   */
  private static final double RENEWED = 0.05;

  private final Map<Fact.Name, Fact> told = new HashMap<>();

  /** Those of the present facts that are worth telling. */
  public List<Fact> of(Collection<Fact> present, double halfLifeUs) {
    List<Fact> news = new ArrayList<>();
    Set<Fact.Name> names = new HashSet<>();
    for (Fact fact : present) {
      names.add(fact.name());
      Fact before = told.get(fact.name());
      if (before == null
          || !before.terms().equals(fact.terms())
          || Math.abs(fact.value() - before.value()) > MOVED * Math.abs(before.value())
          || Math.abs(fact.weight() - before.weight()) > WEIGHED * before.weight()
          || fact.atUs() - before.atUs() > RENEWED * fact.kind().halfLife(halfLifeUs)) {
        news.add(fact);
      }
    }
    told.keySet().retainAll(names);
    return news;
  }

  /** These were written down. */
  public void told(Collection<Fact> facts) {
    facts.forEach(fact -> told.put(fact.name(), fact));
  }

  /** Nothing that was written down is there any more. */
  public void lost() {
    told.clear();
  }
}
