package rosecleat.front.resp;

import java.util.Arrays;

/**
 * The set of tags that requests on one connection have used, in bounded memory: every tag up to a
 * floor counts as used, and used tags above the floor are stored individually.
 */
final class TagWindow {
  /**
   * Most tags stored above the floor; when there are more, the floor rises to the lowest of them.
   */
  private static final int MAX_TAGS_ABOVE_FLOOR = 256;

  private static final long[] NO_TAGS = new long[0];
  private static final int INITIAL_CAPACITY = 8;

  /** The used tags above the floor in ascending order, followed by unused elements. */
  private long[] tags = NO_TAGS;

  private int count;
  private long floor;

  /** Marks a tag as used; returns false if it was used before or is not above the floor. */
  boolean markUsed(long tag) {
    if (tag <= floor) {
      return false;
    }
    int found = Arrays.binarySearch(tags, 0, count, tag);
    if (found >= 0) {
      return false;
    }
    insert(-1 - found, tag);
    int removed = 0;
    while (removed < count && tags[removed] == floor + 1) {
      floor++;
      removed++;
    }
    removeLowest(removed);
    if (count > MAX_TAGS_ABOVE_FLOOR) {
      floor = tags[0];
      removeLowest(1);
    }
    return true;
  }

  /**
   * Returns the heap that the stored tags occupy beyond the few of a client that uses its tags in
   * about ascending order.
   */
  int heldBytes() {
    return tags.length > INITIAL_CAPACITY ? Long.BYTES * tags.length : 0;
  }

  private void insert(int index, long tag) {
    if (count == tags.length) {
      tags = Arrays.copyOf(tags, Math.max(INITIAL_CAPACITY, 2 * count));
    }
    System.arraycopy(tags, index, tags, index + 1, count - index);
    tags[index] = tag;
    count++;
  }

  private void removeLowest(int number) {
    System.arraycopy(tags, number, tags, 0, count - number);
    count -= number;
    if (count == 0 && tags.length > INITIAL_CAPACITY) {
      tags = NO_TAGS;
    }
  }
}
