package rosecleat.core;

import java.util.Optional;

/**
 * Finds requests that must not run because of what this node already holds or has run. For the
 * core's thread.
 */
final class RequestConflicts {
  private final InFlightRequests requests;
  private final StartedRuns startedRuns;
  private final IdempotentAttempts attempts;
  private final Counters counters;

  RequestConflicts(
      InFlightRequests requests,
      StartedRuns startedRuns,
      IdempotentAttempts attempts,
      Counters counters) {
    this.requests = requests;
    this.startedRuns = startedRuns;
    this.attempts = attempts;
    this.counters = counters;
  }

  /** Returns the response to an arriving request that must not run; empty if it may run. */
  Optional<Response> find(InFlightRequest request) {
    if (requests.contains(request.id())) {
      return Optional.of(Runs.conflict(FailureReason.DUPLICATE_REQUEST_ID));
    }
    if (request.idempotent()) {
      return findForKey(request);
    }
    if (startedRuns.mayHaveRun(request.id())) {
      counters.add("ids.repeated");
      return Optional.of(Runs.earlierAttemptMayHaveRun());
    }
    return Optional.empty();
  }

  private Optional<Response> findForKey(InFlightRequest request) {
    if (attempts.conflicts(request)) {
      return Optional.of(Runs.conflict(FailureReason.IDEMPOTENCY_KEY_CONFLICT));
    }
    if (attempts.hasNoRoomFor(request)) {
      counters.add("keyed.noroom");
      return Optional.of(Response.rejected());
    }
    return Optional.empty();
  }
}
