package rosecleat.core;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rosecleat.policy.CallOutcome;
import rosecleat.policy.PolicyEvent;

/** Makes, skips and cancels the downstream calls for which runs pause. For the core's thread. */
final class DownstreamCalls {
  private final DownstreamClient client;
  private final LongSupplier clock;
  private final Counters counters;
  private final Consumer<PolicyEvent> policy;

  /** Creates an instance without calls in progress. */
  DownstreamCalls(
      DownstreamClient client,
      LongSupplier clock,
      Counters counters,
      Consumer<PolicyEvent> policy) {
    this.client = client;
    this.clock = clock;
    this.counters = counters;
    this.policy = policy;
  }

  /** Pauses a run until its downstream call is completed or skipped, and notifies the policy. */
  void requested(InFlightRequest request, long callNumber, byte[] body) {
    if (!request.is(RequestState.RUNNING)) {
      return;
    }
    counters.add("wants");
    request.requestCall(callNumber, body);
    policy.accept(new PolicyEvent.CallNeeded(request.sequence()));
  }

  /** Makes the call for which a run is paused, unless its caller no longer waits for a response. */
  void make(InFlightRequest request, long untilUs) {
    if (!request.is(RequestState.CALL_REQUESTED) || !request.awaitingResponse()) {
      return;
    }
    request.startCall(clock.getAsLong());
    counters.add("calls");
    client.call(request.id(), untilUs, request.callBody());
  }

  /** Resumes a paused run without its call. */
  void skip(InFlightRequest request) {
    if (request.is(RequestState.CALL_REQUESTED)) {
      request.resumeRun();
      counters.add("skips");
      request.request().runner().skipCall(request.id(), request.callNumber());
    }
  }

  /**
   * Handles the end of a call. A reply resumes the run; without a reply, the policy decides whether
   * to call again.
   */
  void ended(InFlightRequest request, CallResult result, byte[] reply) {
    if (!request.is(RequestState.CALLING)) {
      return;
    }
    counters.add("calls." + result.counterSuffix());
    long durationUs = clock.getAsLong() - request.callStartedUs();
    if (result == CallResult.OK) {
      request.resumeRun();
      request.request().runner().completeCall(request.id(), reply);
    } else {
      request.callFailed();
    }
    policy.accept(new PolicyEvent.CallEnded(request.sequence(), outcome(result), durationUs));
  }

  private static CallOutcome outcome(CallResult result) {
    return switch (result) {
      case OK -> CallOutcome.OK;
      case REJECTED -> CallOutcome.REJECTED;
      case FAILED -> CallOutcome.FAILED;
      case TIMED_OUT -> CallOutcome.TIMEOUT;
      case UNREACHABLE -> CallOutcome.UNREACHABLE;
      case INTERRUPTED -> CallOutcome.RESET;
    };
  }

  /** Cancels the call of a request, if one is in progress. */
  void cancel(InFlightRequest request) {
    if (request.is(RequestState.CALLING)) {
      client.cancel(request.id());
    }
  }
}
