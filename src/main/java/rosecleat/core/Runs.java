package rosecleat.core;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.log.Log;
import rosecleat.policy.RunOutcome;

/**
 * Starts, cancels and ends runs, and responds to the requests they belong to. For the core's
 * thread.
 */
final class Runs {
  /** A run whose end is not reported so long (us) after its deadline is taken for lost. */
  private static final long LOST_RUN_TIMEOUT_US = 30_000_000;

  private final InFlightRequests requests;
  private final RequestCloser closer;
  private final IdempotentAttempts attempts;
  private final DownstreamCalls calls;
  private final LongSupplier clock;
  private final Counters counters;
  private final Log log;

  /** No run is in progress yet. */
  Runs(
      InFlightRequests requests,
      RequestCloser closer,
      IdempotentAttempts attempts,
      DownstreamCalls calls,
      LongSupplier clock,
      Counters counters,
      Log log) {
    this.requests = requests;
    this.closer = closer;
    this.attempts = attempts;
    this.calls = calls;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
  }

  /**
   * Starts the run of a queued request.
   *
   * @param afterGracePeriod whether the request arrived when the grace period of a shutdown was
   *     over: it is rejected instead. The policy counts the grace period from when it handled the
   *     notice, which is late where the loop is busy.
   */
  void start(InFlightRequest request, boolean afterGracePeriod) {
    if (!request.is(RequestState.QUEUED) || !request.awaitingResponse()) {
      return;
    }
    if (attempts.wouldRunTwice(request)) {
      log.warn("a run of a request that may have run already was not started");
      closer.endWithoutRun(
          request,
          Response.failed(
              Progress.MAY_HAVE_RUN,
              FailureReason.EARLIER_ATTEMPT_MAY_HAVE_RUN,
              FailureCause.BACKEND));
      return;
    }
    if (afterGracePeriod) {
      counters.add("late.notrun");
      closer.endWithoutRun(
          request, request.mayHaveRun() ? abandoned(request) : Response.rejected());
      return;
    }
    switch (attempts.claim(request)) {
      case GRANTED -> execute(request);
      case KEY_CONFLICT ->
          closer.endWithoutRun(
              request,
              Response.failed(
                  Progress.NOT_SENT, FailureReason.IDEMPOTENCY_KEY_CONFLICT, FailureCause.CALLER));
      case UNAVAILABLE -> closer.endWithoutRun(request, Response.rejected());
      default -> {} // RUNS_ON_PEER_PROCESS: the request waits for the peer's result
    }
  }

  private void execute(InFlightRequest request) {
    request.startRun(clock.getAsLong());
    counters.add("starts");
    request
        .request()
        .runner()
        .start(request.request(), request.deliveryGuarantee(), request.deadlineUs());
  }

  /**
   * Rejects a request. One that may have run fails instead: a rejection promises the caller that
   * nothing ran.
   */
  void reject(InFlightRequest request, long retryAfterUs, boolean last) {
    finish(
        request,
        request.mayHaveRun() ? abandoned(request) : new Response.Rejected(retryAfterUs, last));
  }

  /** Fails a request whose deadline can't be met. */
  void fail(InFlightRequest request) {
    finish(request, abandoned(request));
  }

  private static Response abandoned(InFlightRequest request) {
    return Response.failed(request.progress(), FailureReason.ABANDONED, FailureCause.TIME);
  }

  private void finish(InFlightRequest request, Response response) {
    closer.respond(request, response);
    if (request.pausedForCall()) {
      abandonCall(request);
    } else if (!request.is(RequestState.RUNNING)) {
      closer.close(request);
    }
  }

  /** Cancels a run that is paused for a downstream call, and the call. */
  void abandonCall(InFlightRequest request) {
    calls.cancel(request);
    request.resumeRun(); // a reply that is under way finds no run that waits for it
    cancel(request);
  }

  /** Asks the runner to cancel a run, once; its end is reported later. */
  void cancel(InFlightRequest request) {
    if (request.cancellable()) {
      request.requestCancel();
      counters.add("stops");
      request.request().runner().cancel(request.id());
    }
  }

  /** A run has ended; {@code output} is its result, used only with {@link RunResult#OK}. */
  void ended(InFlightRequest request, RunResult result, byte[] output, long durationUs) {
    if (!request.runInProgress()) {
      return;
    }
    counters.add("runs." + result.counterSuffix());
    calls.cancel(request);
    switch (result) {
      case OK -> completed(request, output, durationUs);
      case FAILED -> failed(request, Progress.RAN, FailureReason.RUN_FAILED, durationUs);
      case INTERRUPTED ->
          failed(request, Progress.MAY_HAVE_RUN, FailureReason.RUN_INTERRUPTED, durationUs);
      case UNREACHABLE -> runnerNotReached(request, durationUs);
      case CANCELLED -> cancelled(request, durationUs);
      case NOT_STARTED -> notStarted(request, durationUs);
      default -> throw new IllegalArgumentException(result.name());
    }
  }

  private void completed(InFlightRequest request, byte[] output, long durationUs) {
    closer.respond(request, new Response.Completed(output));
    closer.closeAndReportEnd(request, RunOutcome.OK, durationUs);
    attempts.runCompleted(request, output);
  }

  private void failed(
      InFlightRequest request, Progress progress, FailureReason reason, long durationUs) {
    closer.respond(request, Response.failed(progress, reason, FailureCause.BACKEND));
    closer.closeAndReportEnd(request, RunOutcome.FAILED, durationUs);
    attempts.runEndedWithoutResult(request);
  }

  private void notStarted(InFlightRequest request, long durationUs) {
    closer.respond(
        request, Response.failed(Progress.SENT, FailureReason.RUN_NOT_STARTED, FailureCause.TIME));
    closer.closeAndReportEnd(request, RunOutcome.NOT_STARTED, durationUs);
    attempts.runEndedWithoutResult(request);
  }

  /** Nothing ran, which is proven: an idempotent request may be sent again and run then. */
  private void runnerNotReached(InFlightRequest request, long durationUs) {
    List<InFlightRequest> waiting = attempts.runNeverExecuted(request);
    request.markNeverRan();
    closer.respond(
        request,
        Response.failed(Progress.NOT_SENT, FailureReason.RUNNER_UNREACHABLE, FailureCause.BACKEND));
    closer.closeAndReportEnd(request, RunOutcome.FAILED, durationUs);
    attempts.replay(waiting, Optional.empty());
  }

  /** A request whose response is still awaited is queued again, its work so far being lost. */
  private void cancelled(InFlightRequest request, long durationUs) {
    request.runCancelled();
    if (request.awaitingResponse()) {
      request.requeue();
      closer.reportEnd(request, RunOutcome.CANCELLED, durationUs);
    } else {
      closer.closeAndReportEnd(request, RunOutcome.CANCELLED, durationUs);
    }
    attempts.runEndedWithoutResult(request);
  }

  /**
   * Closes the requests whose run's end was lost on a broken link: the policy would count them as
   * running for ever, and start fewer and fewer others.
   */
  void expireLost(long nowUs) {
    for (InFlightRequest request : requests.snapshot()) {
      if (!request.awaitingResponse() && nowUs > request.deadlineUs() + LOST_RUN_TIMEOUT_US) {
        counters.add("runs.lost");
        log.warn("a run has not ended long after its answer was due, and is forgotten");
        cancel(request);
        failed(
            request,
            Progress.MAY_HAVE_RUN,
            FailureReason.RUN_END_LOST,
            nowUs - request.startedUs());
      }
    }
  }
}
