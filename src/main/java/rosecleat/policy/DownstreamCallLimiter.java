package rosecleat.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits the downstream calls: their number at a time by how long calls take, and the time they
 * occupy a shared dependency by this server's quota.
 */
final class DownstreamCallLimiter {
  /** Usual lengths of a call after which it is given up; chosen here. */
  private static final double TIMEOUT_FACTOR = 8;

  /** Usual lengths of a call from which fewer are outstanding; chosen here. */
  private static final double SLOW_FACTOR = 3;

  /** So many calls may be outstanding in any case (calls); chosen here. */
  private static final double MIN_LIMIT_CALLS = 2;

  /** Or this share of the server's quota, if that is fewer; chosen here. */
  private static final double MIN_LIMIT_QUOTA_SHARE = 0.4;

  /** One step down of the limit (factor); chosen here. */
  private static final double DECREASE = 0.7;

  /** Least rise of the usual length a step while calls are slow (factor); chosen here. */
  private static final double TYPICAL_DURATION_GROWTH = 1.05;

  /** Weight of the newest call in the recent length; chosen here. */
  private static final double RECENT_WEIGHT = 0.1;

  /** Least weight of the newest call in the usual length; chosen here. */
  private static final double MIN_TYPICAL_WEIGHT = 0.002;

  /** A quota of so many lingering times is halved among calls; chosen here. */
  private static final double LARGE_QUOTA_LINGER_TIMES = 4;

  private final PolicyContext context;
  private final List<DownstreamCall> recentCalls = new ArrayList<>();
  private double recentDurationUs;
  private double typicalDurationUs;
  private int callsEnded;
  private boolean rejectedSinceStep;
  private long noCallBeforeUs;
  private double limit = Double.MAX_VALUE;
  private long pausedUntilUs;

  DownstreamCallLimiter(PolicyContext context) {
    this.context = context;
  }

  /**
   * Draws when the first call may be made: servers that start together and may call seldom must not
   * call at the same time.
   */
  void start(long nowUs) {
    noCallBeforeUs =
        windowUs() > context.settings().callWindowUs()
            ? nowUs + (long) (context.random.nextDouble() * windowUs())
            : nowUs;
  }

  /** Length of recent calls, smoothed, with those that were given up (us). */
  double recentDurationUs() {
    return recentDurationUs;
  }

  /** The same over many more calls (us). */
  double typicalDurationUs() {
    return typicalDurationUs;
  }

  /** Calls whose length is known. */
  int callsEnded() {
    return callsEnded;
  }

  /** The limit on concurrent calls; below 1 it holds in the mean, by pauses between calls. */
  double limit() {
    return limit;
  }

  /** Whether the pause after the last call still lasts. */
  boolean isPaused() {
    return context.nowUs() < pausedUntilUs;
  }

  /** Counts a call that ended after some time, or was given up. */
  void recordDuration(long tookUs) {
    recentDurationUs += (tookUs - recentDurationUs) * (recentDurationUs == 0 ? 1 : RECENT_WEIGHT);
    callsEnded++;
    typicalDurationUs +=
        (recentDurationUs - typicalDurationUs) * Math.max(MIN_TYPICAL_WEIGHT, 1.0 / callsEnded);
  }

  /** Counts a call that the dependency rejected. */
  void recordRejection() {
    rejectedSinceStep = true;
  }

  /** Notes a call that is made now and given up at {@code untilUs} at the latest. */
  void acquire(TrackedRequest tracked, long untilUs) {
    tracked.activeCall =
        new DownstreamCall(context.nowUs(), untilUs + context.settings().callLingerUs());
    recentCalls.add(tracked.activeCall);
  }

  /**
   * Notes that a request's call is over, if one is outstanding.
   *
   * @param ended whether it came to an end; otherwise it may still linger at the dependency
   */
  void release(TrackedRequest tracked, boolean ended) {
    DownstreamCall call = tracked.activeCall;
    if (call == null) {
      return;
    }
    long now = context.nowUs();
    long lingerUs = ended ? 0 : context.settings().callLingerUs();
    call.occupiedUntilUs = Math.min(call.occupiedUntilUs, now + lingerUs);
    double tookUs = Math.min((double) (now - call.startedUs), TIMEOUT_FACTOR * typicalDurationUs);
    pausedUntilUs = now + (limit >= 1 ? 0 : (long) (tookUs * (1 / limit - 1)));
    tracked.activeCall = null;
  }

  /** Forgets the calls that are no longer in the window. */
  void removeExpiredCalls() {
    recentCalls.removeIf(call -> call.occupiedUntilUs <= context.nowUs() - windowUs());
  }

  /**
   * Moves the limit by one step, led by the length of calls. Guards a dependency that does less the
   * more it holds: all servers' calls jam it, and where servers are many one call from each is a
   * jam. Harm: where it is slow for another cause, calls wait that it could have taken.
   */
  void adjust(int outstanding) {
    PolicySettings settings = context.settings();
    // the smaller the server's share of all calls, the less the length of calls is its doing
    double share =
        settings.downstreamMode() == DownstreamMode.SHARED
            ? Math.min(1, MIN_LIMIT_QUOTA_SHARE * settings.concurrentCalls() / MIN_LIMIT_CALLS)
            : 1;
    double minLimit = MIN_LIMIT_CALLS * share;
    if (rejectedSinceStep || recentDurationUs > SLOW_FACTOR * typicalDurationUs) {
      limit = Math.max(minLimit, DECREASE * Math.min(limit, outstanding));
      typicalDurationUs *= limit > minLimit ? 1 : Math.pow(TYPICAL_DURATION_GROWTH, share);
    } else if (outstanding >= limit || isPaused()) {
      limit += ConcurrencyLimiter.INCREASE * share;
    }
    rejectedSinceStep = false;
  }

  /**
   * The latest time at which a call that all depends on {@code endUs} is given up. None is awaited
   * many times its usual length, unless the answer is worth nothing without it. None reserves more
   * than half of the capacity there is, unless that is a few usual lengths only, nor more than half
   * of the whole quota: one that reserved more than there is could never be made, kept all behind
   * it back, and a slow moment left no capacity for as long as the window. Harm: where many servers
   * share and calls take long, those that would end after that are given up.
   *
   * @param endUs the latest useful end
   * @param optional whether an answer without the call is worth something
   * @param availableUs the capacity, of {@link #availableUs}
   */
  long timeoutAt(double endUs, boolean optional, double availableUs) {
    PolicySettings settings = context.settings();
    long now = context.nowUs();
    double end = endUs;
    if (optional && recentDurationUs > 0) {
      end = Math.min(end, now + TIMEOUT_FACTOR * recentDurationUs);
    }
    if (settings.downstreamMode() == DownstreamMode.SHARED) {
      double quotaUs = settings.concurrentCalls() * windowUs();
      boolean large = quotaUs >= LARGE_QUOTA_LINGER_TIMES * settings.callLingerUs();
      double maxByQuotaUs = (large ? quotaUs / 2 : quotaUs) - settings.callLingerUs();
      double maxByCapacityUs = Math.max(SLOW_FACTOR * typicalDurationUs, availableUs / 2);
      end = Math.min(end, now + Math.min(maxByQuotaUs, maxByCapacityUs));
    }
    return (long) Math.max((double) (now + 1), end);
  }

  /**
   * How long one more call may take (us) within this server's quota: that bounds the time at calls
   * in the window that ends now, with all that may still follow, so any later window too.
   */
  double availableUs() {
    PolicySettings settings = context.settings();
    if (settings.downstreamMode() != DownstreamMode.SHARED) {
      return Double.MAX_VALUE;
    }
    if (context.nowUs() < noCallBeforeUs) {
      return 0;
    }
    double quotaUs = settings.concurrentCalls() * windowUs();
    return quotaUs - occupiedUs(context.nowUs(), windowUs()) - settings.callLingerUs();
  }

  /**
   * The window over which calls are counted (us): the settings', or a longer one where not even a
   * short call and its lingering fit into the quota of that. Guards servers so many that none could
   * call. Harm: calls of several servers may meet.
   */
  private double windowUs() {
    PolicySettings settings = context.settings();
    double minWindowUs =
        settings.concurrentCalls() <= 0
            ? 0
            : 2.0 * settings.callLingerUs() / settings.concurrentCalls();
    return Math.max((double) settings.callWindowUs(), minWindowUs);
  }

  /** The time at calls in a window that ends at a time, where no further call is made (us). */
  double occupiedUs(long endUs, double windowUs) {
    double occupied = 0;
    for (DownstreamCall call : recentCalls) {
      occupied +=
          Math.max(0, call.occupiedUntilUs - Math.max((double) call.startedUs, endUs - windowUs));
    }
    return occupied;
  }

  /** Takes in what was learned elsewhere, where nothing was seen here. */
  void restore(double learnedDurationUs, double learnedLimit) {
    if (callsEnded == 0 && recentDurationUs == 0) {
      recentDurationUs = learnedDurationUs;
    }
    typicalDurationUs = recentDurationUs;
    if (learnedLimit > 0) {
      limit = Math.min(limit, Math.max(MIN_LIMIT_CALLS, learnedLimit));
    }
  }
}
