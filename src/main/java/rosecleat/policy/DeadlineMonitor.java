package rosecleat.policy;

import java.util.List;

/** Answers requests before their deadlines, and cancels runs whose response is no longer useful. */
final class DeadlineMonitor {
  private final PolicyContext context;
  private final RequestTable requests;
  private final CompletionForecast forecast;
  private final ResponseSender responses;

  DeadlineMonitor(
      PolicyContext context,
      RequestTable requests,
      CompletionForecast forecast,
      ResponseSender responses) {
    this.context = context;
    this.requests = requests;
    this.forecast = forecast;
    this.responses = responses;
  }

  /** Checks every request; called at each tick. */
  void check() {
    checkQueue();
    checkActive();
  }

  private void checkQueue() {
    List<TrackedRequest> queue = requests.queue();
    for (int i = 0; i < queue.size(); i++) {
      TrackedRequest tracked = queue.get(i);
      if (isDue(tracked) || tracked.mustNotRunAgain() || forecast.isHopeless(tracked)) {
        responses.answer(tracked);
        i = -1; // answering may remove other requests from the queue, so start over
      }
    }
  }

  private void checkActive() {
    List<TrackedRequest> active = requests.active();
    for (int i = 0; i < active.size(); i++) {
      TrackedRequest tracked = active.get(i);
      if (tracked.awaitingResponse && (isDue(tracked) || isUseless(tracked))) {
        int size = active.size();
        responses.answer(tracked);
        i -= size - active.size();
      } else if (!tracked.awaitingResponse && tracked.state == RequestState.RUNNING) {
        responses.cancelRun(tracked);
      }
    }
  }

  private boolean isDue(TrackedRequest tracked) {
    return context.nowUs() >= tracked.deadlineUs - PolicyTiming.DEADLINE_MARGIN_US;
  }

  /** Returns whether a run delays queued requests although its response has no weight any more. */
  private boolean isUseless(TrackedRequest tracked) {
    return tracked.state == RequestState.RUNNING
        && tracked.isSafe()
        && tracked.priorityClass.lateWeight() == 0
        && context.nowUs() > tracked.objectiveUs
        && context.settings().cancelMode() != CancelMode.OFF
        && !requests.queue().isEmpty();
  }
}
