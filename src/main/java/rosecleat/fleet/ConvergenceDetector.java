package rosecleat.fleet;

/**
 * Decides whether the view of this process has converged ("settled" to operators), which it has if
 * all of these hold:
 *
 * <ol>
 *   <li>no member is suspected;
 *   <li>more than half of the members that did not leave are active: otherwise this process may
 *       itself be partitioned from the fleet;
 *   <li>since the view of this process last changed, {@link #MIN_AGREEING_MEMBERS} distinct
 *       members, or all others if they are fewer, have reported an equal digest as their latest
 *       report, and none has reported a different one within the last {@link
 *       #REPORT_VALIDITY_PERIODS} periods;
 *   <li>if other members are active, a message from any of them arrived within the last {@link
 *       #REPORT_VALIDITY_PERIODS} periods: each member is pinged at least once a period, so a
 *       longer gap indicates that this process is disconnected, even if it is slow to suspect
 *       others;
 *   <li>a message from an active member has arrived since this process started, or {@link
 *       #JOIN_TIMEOUT_PERIODS} periods have passed since, or there are no seeds.
 * </ol>
 *
 * <p>After a change on another process, the view stays falsely settled until this process receives
 * the change or suspects the member: for the failure detection time at most. It settles again
 * within about two periods of the last change, which is the time in which enough members report
 * their digest.
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

  /** Records the digest of this process's own view. */
  void observe(long digest, long nowUs) {
    if (digest != viewDigest) {
      viewDigest = digest;
      viewChangedUs = nowUs;
    }
  }

  /** Records the arrival of a message from an active member. */
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
