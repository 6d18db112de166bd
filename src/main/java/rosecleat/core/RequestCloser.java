package rosecleat.core;

import java.util.function.Consumer;
import rosecleat.policy.PolicyEvent;
import rosecleat.policy.RunOutcome;

/** Sends responses, reports ended runs to the policy and closes requests. For the core's thread. */
final class RequestCloser {
  private final InFlightRequests requests;
  private final Counters counters;
  private final Consumer<PolicyEvent> policy;

  /** A closer that removes what it closes from {@code requests}. */
  RequestCloser(InFlightRequests requests, Counters counters, Consumer<PolicyEvent> policy) {
    this.requests = requests;
    this.counters = counters;
    this.policy = policy;
  }

  /** Sends the response, unless one was sent before or the caller is gone. */
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

  /** Reports that the run of a request has ended, which stays in flight. */
  void reportEnd(InFlightRequest request, RunOutcome outcome, long durationUs) {
    policy.accept(new PolicyEvent.Ended(request.sequence(), outcome, durationUs));
  }

  /** Closes a request and reports that its run has ended. */
  void closeAndReportEnd(InFlightRequest request, RunOutcome outcome, long durationUs) {
    close(request);
    reportEnd(request, outcome, durationUs);
  }

  /**
   * Responds to a request whose run was not started here, although the policy has started it and
   * counts it as running until told otherwise.
   */
  void endWithoutRun(InFlightRequest request, Response response) {
    respond(request, response);
    closeAndReportEnd(request, RunOutcome.NOT_STARTED, 0);
  }

  /** Removes a request; may be repeated. */
  void close(InFlightRequest request) {
    request.close();
    requests.remove(request);
    if (request.runsOnPeerProcess()) { // the policy counts it as running until told otherwise
      request.stopAwaitingPeerProcess();
      reportEnd(request, RunOutcome.NOT_STARTED, 0);
    }
  }
}
