package rosecleat.front.resp;

import java.util.TreeSet;

/**
 * The set of tags that requests on one connection have used, in bounded memory: every tag up to a
 * floor counts as used, and used tags above the floor are stored individually.
 */
final class TagWindow {
  /**
   * Most tags stored above the floor; when there are more, the floor rises to the lowest of them.
   */
  private static final int MAX_TAGS_ABOVE_FLOOR = 256;

  private final TreeSet<Long> usedAboveFloor = new TreeSet<>();
  private long floor;

  /** Marks a tag as used; returns false if it was used before or is not above the floor. */
  boolean markUsed(long tag) {
    if (tag <= floor || !usedAboveFloor.add(tag)) {
      return false;
    }
    while (!usedAboveFloor.isEmpty() && usedAboveFloor.first() == floor + 1) {
      floor = usedAboveFloor.pollFirst();
    }
    if (usedAboveFloor.size() > MAX_TAGS_ABOVE_FLOOR) {
      floor = usedAboveFloor.pollFirst();
    }
    return true;
  }
}
