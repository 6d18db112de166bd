package rosecleat.front.resp;

import java.util.TreeSet;

/**
 * The tags that requests on one connection have used, in bounded memory: every tag up to a floor
 * counts as used, and those above it are remembered one by one.
 */
final class TagWindow {
  /** Tags remembered above the floor; beyond it the floor rises over the gap. */
  private static final int MAX_TAGS_ABOVE_FLOOR = 256;

  private final TreeSet<Long> usedAboveFloor = new TreeSet<>();
  private long floor;

  /** Marks a tag as used; false where it was used before, or is too old to know. */
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
