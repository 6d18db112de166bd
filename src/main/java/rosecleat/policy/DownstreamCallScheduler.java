package rosecleat.policy;

import java.util.ArrayList;
import java.util.List;

/** Makes the downstream calls of running requests, the most valuable first. */
final class DownstreamCallScheduler {
  /** A call much shorter than the run is always made (part of the expected run); chosen here. */
  private static final double SHORT_CALL_PART = 0.1;

  /** Calls for one need, where repeating is allowed; chosen here. */
  private static final int MAX_ATTEMPTS = 2;

  private final PolicyContext context;
  private final RequestTable requests;
  private final DownstreamCallLimiter limiter;
  private final ServiceTimeEstimator serviceTimes;
  private final RequestWeights weights;
  private final ResponseSender responses;

  /** Requests whose call is not made yet, in order of their need. */
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

  /** A run waits for its call: makes it as soon as possible. */
  void request(TrackedRequest tracked) {
    requests.setState(tracked, RequestState.NEEDS_CALL);
    if (tracked.awaitingResponse) {
      waiting.add(tracked);
      makeCalls();
    } else {
      context.actions.fail(tracked.id()); // answered or cancelled: the call would be of no use
    }
  }

  /** A call has ended: resumes its run, or tries again where that is allowed. */
  void ended(TrackedRequest tracked, Outcome outcome, long tookUs) {
    boolean neverRan = outcome == Outcome.REJECTED || outcome == Outcome.UNREACHABLE;
    boolean ended = outcome == Outcome.OK || outcome == Outcome.FAILED || neverRan;
    limiter.release(tracked, ended);
    if (outcome == Outcome.REJECTED) {
      limiter.recordRejection();
    }
    if (!neverRan) { // how soon a call was rejected says nothing of how long calls take
      limiter.recordLength(tookUs);
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

  /** Calls that are outstanding. */
  int outstanding() {
    return requests.atCall() - waiting.size();
  }

  /**
   * Makes the calls that fit into this server's quota, the most valuable first; what must wait too
   * long goes on without. Guards against a dependency that is slow, crowded or dead. Harm: where
   * its capacity is far over all quotas.
   */
  void makeCalls() {
    limiter.forgetOldCalls();
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

  /** Makes one call, unless it would end too late or take more than there is. */
  private boolean makeCall(TrackedRequest tracked) {
    long now = context.nowUs();
    double availableUs = limiter.availableUs();
    double shortCallUs = SHORT_CALL_PART * serviceTimes.expectedRunTime(tracked);
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

  /** The waiting request that loses most without its call; null where none waits. */
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

  /** What the answer loses without the call. */
  private double callWeight(TrackedRequest tracked) {
    return weights.weight(tracked) * (1 - tracked.priorityClass.weightWithoutCall());
  }

  /** Whether a call of the usual length that is made now ends after a time. */
  private boolean isTooLate(double untilUs) {
    return context.nowUs() + limiter.recentLengthUs() >= untilUs;
  }

  /**
   * Until when a call is useful: where an answer without it is worth something, it must leave time
   * for the rest of the run.
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
