package rosecleat.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Named event counters of one process, for operators. For the core's thread. */
public final class Counters {
  private static final String PREFIX = "counters";

  private final Map<String, long[]> counts = new TreeMap<>();

  /** Adds one to a counter. */
  public void add(String name) {
    add(name, 1);
  }

  /** Adds to a counter. */
  public void add(String name, long more) {
    counts.computeIfAbsent(name, n -> new long[1])[0] += more;
  }

  /** Returns the value of a counter; 0 if nothing was counted. */
  public long get(String name) {
    long[] count = counts.get(name);
    return count == null ? 0 : count[0];
  }

  /**
   * Returns all counters, sorted by name, on as many lines as are needed so that no line exceeds
   * {@code maxChars}. A counter that is too long even by itself has a line of its own.
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

  /** Returns all counters on one line, sorted by name. */
  @Override
  public String toString() {
    StringBuilder line = new StringBuilder(PREFIX);
    counts.forEach((name, count) -> line.append(' ').append(name).append('=').append(count[0]));
    return line.toString();
  }
}
