package rosecleat.fleet;

/**
 * Whether a view has converged ("settled" to operators). It has, exactly, while all of these hold:
 *
 * <ol>
 *   <li>no member is suspected;
 *   <li>more than half of the members that did not leave are active: else this process may itself
 *       be cut off;
 *   <li>since this view last changed, {@link #MIN_AGREEING_MEMBERS} distinct members, or all others
 *       where they are fewer, have reported its very digest, each as its latest report, and none
 *       has reported another one within {@link #REPORT_VALIDITY_PERIODS} periods;
 *   <li>where others are active, something was heard of any of them within {@link
 *       #REPORT_VALIDITY_PERIODS} periods: each is pinged once a period at the least, so silence is
 *       a sign of being cut off, also for a process that is slow to suspect;
 *   <li>it has heard from another since it started, or tried every seed for {@link
 *       #JOIN_TIMEOUT_PERIODS} periods, or has no seeds.
 * </ol>
 *
 * <p>After a change elsewhere it stays true wrongly until the change is received or suspected here:
 * for the time of detection at the most. It comes true again within some two periods of the last
 * change, which is how long it takes for that many members to be heard.
 */
final class ConvergenceDetector {
  static final int MIN_AGREEING_MEMBERS = 3;
  static final int REPORT_VALIDITY_PERIODS = 3;
  static final int JOIN_TIMEOUT_PERIODS = 3;

  private final long periodUs;
  private final long startUs;
  private long viewDigest;
  private long viewChangedUs;
  private boolean anyMessageReceived;
  private long lastMessageUs;

  ConvergenceDetector(long periodUs, long nowUs) {
    this.periodUs = periodUs;
    startUs = nowUs;
    viewChangedUs = nowUs;
  }

  /** Notes the digest of this process's own view. */
  void observe(long digest, long nowUs) {
    if (digest != viewDigest) {
      viewDigest = digest;
      viewChangedUs = nowUs;
    }
  }

  /** Notes that something came from an active member. */
  void onMessageFromActiveMember(long nowUs) {
    anyMessageReceived = true;
    lastMessageUs = nowUs;
  }

  boolean isSettled(MemberList members, boolean hasSeeds, long nowUs) {
    boolean joining =
        !anyMessageReceived && hasSeeds && nowUs - startUs < JOIN_TIMEOUT_PERIODS * periodUs;
    boolean silent =
        members.activePeerCount() > 0 && nowUs - lastMessageUs > REPORT_VALIDITY_PERIODS * periodUs;
    return !joining && !silent && members.hasActiveMajority() && othersAgree(members, nowUs);
  }

  private boolean othersAgree(MemberList members, long nowUs) {
    int agreeing = 0;
    for (Member member : members.all()) {
      if (member.state == MemberState.SUSPECT) {
        return false;
      }
      if (member.state != MemberState.ALIVE || member.reportedUs < viewChangedUs) {
        continue;
      }
      if (member.reportedDigest == viewDigest) {
        agreeing++;
      } else if (nowUs - member.reportedUs < REPORT_VALIDITY_PERIODS * periodUs) {
        return false;
      }
    }
    return agreeing >= Math.min(MIN_AGREEING_MEMBERS, members.activePeerCount());
  }
}
