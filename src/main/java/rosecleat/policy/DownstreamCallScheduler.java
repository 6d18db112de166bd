package rosecleat.policy;

import java.util.ArrayList;
import java.util.List;

/** Starts the downstream calls of running requests, in order of weight. */
final class DownstreamCallScheduler {
  /**
   * Time that a call gets at least, as a share of the expected run time: a call much shorter than
   * its run is made even when little time is left.
   */
  private static final double SHORT_CALL_RUN_SHARE = 0.1;

  /** Maximum number of attempts at one call, where retries are allowed. */
  private static final int MAX_ATTEMPTS = 2;

  private final PolicyContext context;
  private final RequestTable requests;
  private final DownstreamCallLimiter limiter;
  private final ServiceTimeEstimator serviceTimes;
  private final RequestWeights weights;
  private final ResponseSender responses;

  /** Requests whose call has not been made yet, in the order in which they asked for it. */
  private final List<TrackedRequest> waiting = new ArrayList<>();

  DownstreamCallScheduler(
      PolicyContext context,
      RequestTable requests,
      DownstreamCallLimiter limiter,
      ServiceTimeEstimator serviceTimes,
      RequestWeights weights,
      ResponseSender responses) {
    this.context = context;
    this.requests = requests;
    this.limiter = limiter;
    this.serviceTimes = serviceTimes;
    this.weights = weights;
    this.responses = responses;
  }

  /** Makes the call that a run waits for, as soon as the limits allow. */
  void request(TrackedRequest tracked) {
    requests.setState(tracked, RequestState.NEEDS_CALL);
    if (tracked.awaitingResponse) {
      waiting.add(tracked);
      makeCalls();
    } else {
      context.actions.fail(tracked.id()); // already answered or cancelled
    }
  }

  /** Handles the end of a call: resumes its run, or retries the call where that is allowed. */
  void ended(TrackedRequest tracked, Outcome outcome, long tookUs) {
    boolean neverRan = outcome == Outcome.REJECTED || outcome == Outcome.UNREACHABLE;
    boolean ended = outcome == Outcome.OK || outcome == Outcome.FAILED || neverRan;
    limiter.release(tracked, ended);
    if (outcome == Outcome.REJECTED) {
      limiter.recordRejection();
    }
    if (!neverRan) { // the time to a rejection says nothing about the call duration
      limiter.recordDuration(tookUs);
    }
    if (outcome == Outcome.OK) {
      tracked.callAttempts = 0;
      requests.setState(tracked, RequestState.RUNNING);
      return;
    }
    requests.setState(tracked, RequestState.NEEDS_CALL);
    if ((neverRan || tracked.isSafe()) && tracked.callAttempts < MAX_ATTEMPTS) {
      waiting.add(tracked);
    } else {
      resumeWithoutCall(tracked);
    }
  }

  /** Returns the number of outstanding calls. */
  int outstanding() {
    return requests.atCall() - waiting.size();
  }

  /**
   * Makes the calls that fit into this server's quota and limit, in order of weight. Requests whose
   * optional call can no longer end in time continue without it. Protects requests from a
   * dependency that is slow, overloaded or unreachable. Trade-off: if the capacity of the
   * dependency far exceeds all quotas, calls wait without need.
   */
  void makeCalls() {
    limiter.removeExpiredCalls();
    while (!limiter.isPaused()) {
      TrackedRequest best = mostValuable();
      if (best == null || outstanding() >= limiter.limit() || !makeCall(best)) {
        break;
      }
    }
    for (TrackedRequest tracked : List.copyOf(waiting)) {
      if (isOptional(tracked) && isTooLate(usefulUntil(tracked))) {
        waiting.remove(tracked);
        resumeWithoutCall(tracked);
      }
    }
  }

  /** Makes one call, unless it would end too late or exceed the available capacity. */
  private boolean makeCall(TrackedRequest tracked) {
    long now = context.nowUs();
    double availableUs = limiter.availableUs();
    double shortCallUs = SHORT_CALL_RUN_SHARE * serviceTimes.expectedRunTime(tracked);
    double endUs = Math.max(usefulUntil(tracked), now + shortCallUs);
    long untilUs = limiter.timeoutAt(endUs, isOptional(tracked), availableUs);
    if ((isOptional(tracked) && isTooLate((double) untilUs)) || untilUs - now > availableUs) {
      return false;
    }
    waiting.remove(tracked);
    limiter.acquire(tracked, untilUs);
    tracked.callAttempts++;
    requests.setState(tracked, RequestState.CALLING);
    context.actions.call(tracked.id(), untilUs);
    return true;
  }

  /**
   * Returns the waiting request whose answer loses most weight without its call, or null if none
   * waits.
   */
  private TrackedRequest mostValuable() {
    waiting.removeIf(tracked -> tracked.state != RequestState.NEEDS_CALL);
    TrackedRequest best = null;
    for (TrackedRequest tracked : List.copyOf(waiting)) {
      if (!tracked.awaitingResponse) {
        waiting.remove(tracked);
        resumeWithoutCall(tracked);
      } else if (best == null
          || callWeight(tracked) * RequestWeights.EQUAL_WEIGHT_RATIO > callWeight(best)) {
        best = tracked;
      }
    }
    return best;
  }

  private void resumeWithoutCall(TrackedRequest tracked) {
    if (!tracked.awaitingResponse) {
      context.actions.fail(tracked.id());
    } else if (isOptional(tracked)) {
      requests.setState(tracked, RequestState.RUNNING);
      context.actions.skipCall(tracked.id());
    } else {
      responses.answer(tracked);
    }
  }

  private static boolean isOptional(TrackedRequest tracked) {
    return tracked.priorityClass.weightWithoutCall() > 0;
  }

  /** Returns the weight that the answer loses without the call. */
  private double callWeight(TrackedRequest tracked) {
    return weights.weight(tracked) * (1 - tracked.priorityClass.weightWithoutCall());
  }

  /** Returns whether a call of the recent duration that starts now would end too late. */
  private boolean isTooLate(double untilUs) {
    return context.nowUs() + limiter.recentDurationUs() >= untilUs;
  }

  /**
   * Returns the time until which a call is useful. An optional call must leave time for the rest of
   * the run before the latency objective.
   */
  private double usefulUntil(TrackedRequest tracked) {
    long lastAnswerUs = tracked.deadlineUs - PolicyTiming.DEADLINE_MARGIN_US;
    if (!isOptional(tracked)) {
      return lastAnswerUs;
    }
    double expectedUs = serviceTimes.expectedRunTime(tracked);
    double workedUs = tracked.stateSinceUs - tracked.runStartedUs - tracked.waitedAtCallsUs;
    return Math.min(lastAnswerUs, tracked.objectiveUs) - Math.max(expectedUs - workedUs, 0);
  }
}
