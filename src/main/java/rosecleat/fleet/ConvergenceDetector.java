package rosecleat.fleet;

/**
 * Whether a view is settled. It is, exactly, while all of these hold:
 *
 * <ol>
 *   <li>no member is suspected;
 *   <li>more than half of those that did not say that they go are there: else this process may
 *       itself be cut off;
 *   <li>since this view last changed, as many distinct members as {@link #ENOUGH}, or all others
 *       where they are fewer, have told its very digest, each as the last that it told, and none
 *       that told another one within {@link #FRESH} periods;
 *   <li>where others are there, something was heard of any of them within {@link #FRESH} periods:
 *       each is pinged once a period at the least, so silence is a sign of being cut off, also for
 *       a process that is slow to suspect;
 *   <li>it has met another since it started, or tried every seed for {@link #ALONE} periods, or has
 *       none.
 * </ol>
 *
 * After a change elsewhere it stays true wrongly until the change is told here or suspected here:
 * for the time of detection at the most. It comes true again within some two periods of the last
 * change, which is how long it takes for that many members to be heard.
 */
final class ConvergenceDetector {
  static final int ENOUGH = 3;
  static final int FRESH = 3;
  static final int ALONE = 3;

  private final long periodUs;
  private final long startUs;
  private long changedUs;
  private long digest;
  private boolean met;
  private long heardUs;

  ConvergenceDetector(long periodUs, long nowUs) {
    this.periodUs = periodUs;
    startUs = nowUs;
    changedUs = nowUs;
  }

  void look(long fresh, long nowUs) {
    if (fresh != digest) {
      digest = fresh;
      changedUs = nowUs;
    }
  }

  /** Something came from another that is there. */
  void heard(long nowUs) {
    met = true;
    heardUs = nowUs;
  }

  boolean holds(MemberList members, boolean seeds, long nowUs) {
    if (!met && seeds && nowUs - startUs < ALONE * periodUs) {
      return false;
    }
    if (members.others() > 0 && nowUs - heardUs > FRESH * periodUs) {
      return false;
    }
    int there = members.others() + 1;
    if (2 * there <= members.expected()) {
      return false;
    }
    int agree = 0;
    for (Member member : members.all()) {
      if (member.state == MemberState.SUSPECT) {
        return false;
      }
      if (member.state != MemberState.ALIVE || member.toldUs < changedUs) {
        continue;
      }
      if (member.toldDigest == digest) {
        agree++;
      } else if (nowUs - member.toldUs < FRESH * periodUs) {
        return false;
      }
    }
    return agree >= Math.min(ENOUGH, members.others());
  }
}
