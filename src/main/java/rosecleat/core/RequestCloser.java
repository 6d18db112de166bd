package rosecleat.core;

import java.util.function.Consumer;
import rosecleat.policy.PolicyEvent;
import rosecleat.policy.RunOutcome;

/** Sends responses, reports ended runs to the policy and closes requests. For the core's thread. */
final class RequestCloser {
  private final InFlightRequests requests;
  private final Counters counters;
  private final Consumer<PolicyEvent> policy;

  /** Creates a closer that removes closed requests from {@code requests}. */
  RequestCloser(InFlightRequests requests, Counters counters, Consumer<PolicyEvent> policy) {
    this.requests = requests;
    this.counters = counters;
    this.policy = policy;
  }

  /** Sends the response, unless one was sent before or the caller has cancelled the request. */
  void respond(InFlightRequest request, Response response) {
    if (!request.awaitingResponse()) {
      return;
    }
    counters.add(counter(response));
    request.respond(response);
  }

  private static String counter(Response response) {
    if (response instanceof Response.Completed) {
      return "answers.served";
    }
    return response instanceof Response.Rejected ? "answers.refused" : "answers.failed";
  }

  /** Reports to the policy that the run of a request has ended. Does not close the request. */
  void reportEnd(InFlightRequest request, RunOutcome outcome, long durationUs) {
    policy.accept(new PolicyEvent.Ended(request.sequence(), outcome, durationUs));
  }

  /** Closes a request and reports to the policy that its run has ended. */
  void closeAndReportEnd(InFlightRequest request, RunOutcome outcome, long durationUs) {
    close(request);
    reportEnd(request, outcome, durationUs);
  }

  /**
   * Responds to and closes a request whose run the policy has started but this process has not. The
   * policy counts the request as running until its end is reported.
   */
  void endWithoutRun(InFlightRequest request, Response response) {
    respond(request, response);
    closeAndReportEnd(request, RunOutcome.NOT_STARTED, 0);
  }

  /** Closes a request and removes it from the requests in flight. Idempotent. */
  void close(InFlightRequest request) {
    request.close();
    requests.remove(request);
    if (request.runsElsewhere()) { // the policy counts it as running until its end is reported
      request.stopAwaitingRunElsewhere();
      reportEnd(request, RunOutcome.NOT_STARTED, 0);
    }
  }
}
