package rosecleat.front.resp;

import java.util.TreeSet;

/** The tags used on one connection: all up to a floor, and some above it. */
final class Tags {
  /**
   * Gaps are remembered up to so many tags above the floor; a peer that leaves more is not
   * followed.
   */
  private static final int MOST = 256;

  private final TreeSet<Long> above = new TreeSet<>();
  private long floor;

  /** Notes a tag; false where it was used before. */
  boolean use(long tag) {
    if (tag <= floor || !above.add(tag)) {
      return false;
    }
    while (!above.isEmpty() && above.first() == floor + 1) {
      floor = above.pollFirst();
    }
    if (above.size() > MOST) { // bounded memory: tags skipped so long ago count as used
      floor = above.pollFirst();
    }
    return true;
  }
}
