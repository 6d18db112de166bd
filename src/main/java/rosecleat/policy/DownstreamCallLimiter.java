package rosecleat.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits downstream calls in two ways: the number of concurrent calls adapts to the call duration,
 * and the time that calls occupy a shared dependency stays within this server's quota.
 */
final class DownstreamCallLimiter {
  /** Multiple of the usual call duration after which an optional call times out. */
  private static final double TIMEOUT_FACTOR = 8;

  /** Multiple of the typical call duration above which the limit decreases. */
  private static final double SLOW_FACTOR = 3;

  /** Lower bound of the limit on concurrent calls. */
  private static final double MIN_LIMIT_CALLS = 2;

  /** Lower bound of the limit as a share of this server's quota, if that is fewer calls. */
  private static final double MIN_LIMIT_QUOTA_SHARE = 0.4;

  /** Factor by which one step decreases the limit. */
  private static final double DECREASE = 0.7;

  /**
   * Factor by which a step raises the typical call duration while calls are slow or rejected and
   * the limit is at its lower bound.
   */
  private static final double TYPICAL_DURATION_GROWTH = 1.05;

  /** Weight of the newest call in the recent call duration. */
  private static final double RECENT_WEIGHT = 0.1;

  /** Minimum weight of the newest sample in the typical call duration. */
  private static final double MIN_TYPICAL_WEIGHT = 0.002;

  /**
   * Size of the quota, as a multiple of the linger time, from which one call may reserve at most
   * half of the quota.
   */
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
   * Sets the earliest time of the first call. If the quota is so small that the window is extended,
   * the time is random within the window, so that servers that start together do not call at the
   * same time.
   */
  void start(long nowUs) {
    noCallBeforeUs =
        windowUs() > context.settings().callWindowUs()
            ? nowUs + (long) (context.random.nextDouble() * windowUs())
            : nowUs;
  }

  /** Returns the smoothed duration of recent calls, including calls that timed out (us). */
  double recentDurationUs() {
    return recentDurationUs;
  }

  /** Returns the call duration smoothed over many more calls than the recent one (us). */
  double typicalDurationUs() {
    return typicalDurationUs;
  }

  /** Returns the number of calls whose duration was recorded. */
  int callsEnded() {
    return callsEnded;
  }

  /**
   * Returns the limit on concurrent calls. A limit below 1 applies to the average, by pauses
   * between calls.
   */
  double limit() {
    return limit;
  }

  /** Returns whether the pause after the last call is still in progress. */
  boolean isPaused() {
    return context.nowUs() < pausedUntilUs;
  }

  /** Records the duration of a call that ended or timed out. */
  void recordDuration(long tookUs) {
    recentDurationUs += (tookUs - recentDurationUs) * (recentDurationUs == 0 ? 1 : RECENT_WEIGHT);
    callsEnded++;
    typicalDurationUs +=
        (recentDurationUs - typicalDurationUs) * Math.max(MIN_TYPICAL_WEIGHT, 1.0 / callsEnded);
  }

  /** Records that the dependency rejected a call. */
  void recordRejection() {
    rejectedSinceStep = true;
  }

  /** Reserves time for a call that starts now and times out at {@code untilUs} at the latest. */
  void acquire(TrackedRequest tracked, long untilUs) {
    tracked.activeCall =
        new DownstreamCall(context.nowUs(), untilUs + context.settings().callLingerUs());
    recentCalls.add(tracked.activeCall);
  }

  /**
   * Releases the outstanding call of a request, if there is one.
   *
   * @param ended whether the call itself ended; if not, it still occupies the dependency for the
   *     linger time
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

  /** Removes the calls that no longer overlap the window. */
  void removeExpiredCalls() {
    recentCalls.removeIf(call -> call.occupiedUntilUs <= context.nowUs() - windowUs());
  }

  /**
   * Adjusts the limit by one step, according to the call duration and to rejections. Protects a
   * dependency whose throughput falls as its concurrency rises: the calls of all servers together
   * can overload it, and with many servers one call from each suffices. Trade-off: if the
   * dependency is slow for another reason, calls wait that it could have handled.
   */
  void adjust(int outstanding) {
    PolicySettings settings = context.settings();
    // the smaller this server's share of all calls, the less its own calls influence the call
    // duration, so the lower bound and the upward steps shrink with the quota
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
   * Returns the time at which a call that starts now times out.
   *
   * <p>An optional call times out after a multiple of the recent call duration. With a shared
   * dependency, a call reserves at most half of the available capacity or a few typical call
   * durations, whichever is more, and at most half of the whole quota, or all of a small quota.
   * Otherwise a call that reserved more than the available capacity could never be made and would
   * block all calls behind it, and a short slowdown would leave no capacity for a whole window.
   * Trade-off: where many servers share the dependency and calls take long, calls that would end
   * after this time are abandoned.
   *
   * @param endUs the latest useful end of the call
   * @param optional whether an answer without the call has any weight
   * @param availableUs the available capacity, from {@link #availableUs}
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
   * Returns how long one more call may take within this server's quota (us). The quota bounds the
   * call time in the window that ends now plus all time that outstanding calls reserve after now,
   * so no later window exceeds the quota either.
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
   * Returns the window over which call time is counted (us): the configured window, or a longer one
   * if not even a short call and its linger time fit into the quota of the configured window. With
   * very many servers, no server could call otherwise. Trade-off: calls of several servers may
   * coincide.
   */
  private double windowUs() {
    PolicySettings settings = context.settings();
    double minWindowUs =
        settings.concurrentCalls() <= 0
            ? 0
            : 2.0 * settings.callLingerUs() / settings.concurrentCalls();
    return Math.max((double) settings.callWindowUs(), minWindowUs);
  }

  /**
   * Returns the time that calls occupy the dependency from the start of the window that ends at
   * {@code endUs}, including time reserved after its end, if no further call is made (us).
   */
  double occupiedUs(long endUs, double windowUs) {
    double occupied = 0;
    for (DownstreamCall call : recentCalls) {
      occupied +=
          Math.max(0, call.occupiedUntilUs - Math.max((double) call.startedUs, endUs - windowUs));
    }
    return occupied;
  }

  /**
   * Applies values learned by another process: the call duration if no call was seen here, and the
   * limit if it is lower than the current one, but at least its lower bound.
   */
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
