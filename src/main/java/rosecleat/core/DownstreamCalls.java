package rosecleat.core;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rosecleat.policy.CallOutcome;
import rosecleat.policy.PolicyEvent;

/** The downstream calls that runs pause for. For the core's thread. */
final class DownstreamCalls {
  private final DownstreamClient client;
  private final LongSupplier clock;
  private final Counters counters;
  private final Consumer<PolicyEvent> policy;

  /** No call is in progress yet. */
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

  /** A run pauses until its call is made or skipped. */
  void requested(InFlightRequest request, long callNumber, byte[] body) {
    if (!request.is(RequestState.RUNNING)) {
      return;
    }
    counters.add("wants");
    request.requestCall(callNumber, body);
    policy.accept(new PolicyEvent.CallNeeded(request.sequence()));
  }

  /** Makes the call that a run is paused for, unless nobody waits for the response any longer. */
  void make(InFlightRequest request, long untilUs) {
    if (!request.is(RequestState.CALL_REQUESTED) || !request.awaitingResponse()) {
      return;
    }
    request.startCall(clock.getAsLong());
    counters.add("calls");
    client.call(request.id(), untilUs, request.callBody());
  }

  /** Resumes a run without its call. */
  void skip(InFlightRequest request) {
    if (request.is(RequestState.CALL_REQUESTED)) {
      request.resumeRun();
      counters.add("skips");
      request.request().runner().skipCall(request.id(), request.callNumber());
    }
  }

  /** A call has ended; a reply resumes the run, and without one the policy decides again. */
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
