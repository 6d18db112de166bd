package rosecleat.core;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import rosecleat.log.Log;
import rosecleat.policy.RunOutcome;

/**
 * Starts and cancels runs, handles their ends, and responds to the requests they belong to. For the
 * core's thread.
 */
final class Runs {
  /** Time after its deadline from which on a run without a reported end is considered lost (us). */
  private static final long LOST_RUN_TIMEOUT_US = 30_000_000;

  private final InFlightRequests requests;
  private final RequestCloser closer;
  private final IdempotentAttempts attempts;
  private final StartedRuns startedRuns;
  private final DownstreamCalls calls;
  private final LongSupplier clock;
  private final Counters counters;
  private final Log log;

  /** Creates an instance without runs in progress. */
  Runs(
      InFlightRequests requests,
      RequestCloser closer,
      IdempotentAttempts attempts,
      StartedRuns startedRuns,
      DownstreamCalls calls,
      LongSupplier clock,
      Counters counters,
      Log log) {
    this.requests = requests;
    this.closer = closer;
    this.attempts = attempts;
    this.startedRuns = startedRuns;
    this.calls = calls;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
  }

  /**
   * Starts the run of a queued request.
   *
   * @param afterGracePeriod whether the request arrived after the grace period of a shutdown, so
   *     that it is rejected instead. The policy can't decide this: it counts the grace period from
   *     when it handled the shutdown notice, which is too late if the event loop was busy.
   */
  void start(InFlightRequest request, boolean afterGracePeriod) {
    if (!request.is(RequestState.QUEUED) || !request.awaitingResponse()) {
      return;
    }
    if (attempts.wouldRunTwice(request)) {
      if (attempts.awaitEarlierRun(request)) {
        return;
      }
      log.warn(
          "run not started: the request, or another attempt with its idempotency key, may have run"
              + " already");
      closer.endWithoutRun(request, earlierAttemptMayHaveRun());
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
          closer.endWithoutRun(request, conflict(FailureReason.IDEMPOTENCY_KEY_CONFLICT));
      case UNAVAILABLE -> closer.endWithoutRun(request, Response.rejected());
      default -> {} // RUNS_ON_PEER_PROCESS: the request waits for the peer's result
    }
  }

  /** Returns the response to a request that its caller must send in another form. */
  static Response conflict(FailureReason reason) {
    return Response.failed(Progress.NOT_SENT, reason, FailureCause.CALLER);
  }

  /** Returns the response to an attempt that must not run since an earlier one may have run. */
  static Response earlierAttemptMayHaveRun() {
    return Response.failed(
        Progress.MAY_HAVE_RUN, FailureReason.EARLIER_ATTEMPT_MAY_HAVE_RUN, FailureCause.BACKEND);
  }

  /**
   * Hands a request to its runner. Its id is recorded first, so that of two processes that start
   * the same id at once at most one does.
   */
  private void execute(InFlightRequest request) {
    if (!request.idempotent()) {
      startedRuns.starting(request.id());
      if (startedRuns.mayHaveRunInPeer(request.id())) {
        counters.add("ids.repeated");
        closer.endWithoutRun(request, earlierAttemptMayHaveRun());
        return;
      }
    }
    request.startRun(clock.getAsLong());
    counters.add("starts");
    request
        .request()
        .runner()
        .start(request.request(), request.deliveryGuarantee(), request.deadlineUs());
  }

  /**
   * Rejects a request. A request that may have run fails instead, because a rejection guarantees
   * the caller that nothing ran.
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

  /** Cancels a run that is paused for a downstream call, together with the call. */
  void abandonCall(InFlightRequest request) {
    calls.cancel(request);
    request.resumeRun(); // a reply that still arrives is ignored
    cancel(request);
  }

  /** Requests the runner to cancel a run, at most once. The end of the run is reported later. */
  void cancel(InFlightRequest request) {
    if (request.cancellable()) {
      request.requestCancel();
      counters.add("stops");
      request.request().runner().cancel(request.id());
    }
  }

  /**
   * Handles the end of a run. {@code output} is its result, used with {@link RunResult#OK} only.
   */
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

  /**
   * Fails a request whose run never executed. Its idempotency key is released for later attempts.
   */
  private void runnerNotReached(InFlightRequest request, long durationUs) {
    List<InFlightRequest> waiting = attempts.runNeverExecuted(request);
    request.markNeverRan();
    startedRuns.neverRan(request.id());
    closer.respond(
        request,
        Response.failed(Progress.NOT_SENT, FailureReason.RUNNER_UNREACHABLE, FailureCause.BACKEND));
    closer.closeAndReportEnd(request, RunOutcome.FAILED, durationUs);
    attempts.replay(waiting, Optional.empty());
  }

  /**
   * Queues the request again if its response is still awaited. The cancelled run's work is lost.
   */
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
   * Closes the requests whose run's end was lost with a broken connection. Otherwise the policy
   * would count them as running forever and start fewer and fewer other runs.
   */
  void expireLost(long nowUs) {
    for (InFlightRequest request : requests.snapshot()) {
      if (!request.awaitingResponse() && nowUs > request.deadlineUs() + LOST_RUN_TIMEOUT_US) {
        counters.add("runs.lost");
        log.warn(
            "run abandoned as lost: its end was not reported within "
                + LOST_RUN_TIMEOUT_US / 1_000_000
                + " s after its deadline");
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
