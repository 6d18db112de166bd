package rosecleat.core;

import java.util.Map;
import java.util.TreeMap;

/** Named counters of what a process does, for operators. For the core's thread. */
public final class Counters {
  private final Map<String, long[]> counts = new TreeMap<>();

  /** Adds one to a count. */
  public void add(String name) {
    add(name, 1);
  }

  /** Adds to a count. */
  public void add(String name, long more) {
    counts.computeIfAbsent(name, n -> new long[1])[0] += more;
  }

  /** A count, 0 where nothing was counted. */
  public long get(String name) {
    long[] count = counts.get(name);
    return count == null ? 0 : count[0];
  }

  /** All counts on one line, in order of their names. */
  @Override
  public String toString() {
    StringBuilder line = new StringBuilder("counters");
    counts.forEach((name, count) -> line.append(' ').append(name).append('=').append(count[0]));
    return line.toString();
  }
}
