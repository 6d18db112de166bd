package rosecleat.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Named counters of what a process does, for operators. For the core's thread. */
public final class Counters {
  private static final String PREFIX = "counters";

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

  /**
   * All counts in order of their names, on as many lines as it takes to keep each within a length;
   * a count that is longer than that by itself has a line of its own.
   */
  public List<String> toLines(int maxChars) {
    List<String> lines = new ArrayList<>();
    StringBuilder line = new StringBuilder(PREFIX);
    for (Map.Entry<String, long[]> entry : counts.entrySet()) {
      String count = ' ' + entry.getKey() + '=' + entry.getValue()[0];
      if (line.length() > PREFIX.length() && line.length() + count.length() > maxChars) {
        lines.add(line.toString());
        line = new StringBuilder(PREFIX);
      }
      line.append(count);
    }
    lines.add(line.toString());
    return lines;
  }

  /** All counts on one line, in order of their names. */
  @Override
  public String toString() {
    StringBuilder line = new StringBuilder(PREFIX);
    counts.forEach((name, count) -> line.append(' ').append(name).append('=').append(count[0]));
    return line.toString();
  }
}
