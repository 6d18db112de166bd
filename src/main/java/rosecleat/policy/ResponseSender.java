package rosecleat.policy;

import java.util.List;

/** Sends final answers: a rejection if no run can have taken effect, otherwise a failure. */
final class ResponseSender {
  /**
   * Upper bound of the random Retry-After, as a share of the longest one, if reads take all cores;
   * proportionally lower if reads take less.
   */
  private static final double RETRY_AFTER_PER_READ_SHARE = 0.3;

  private final PolicyContext context;
  private final RequestTable requests;
  private final CoreLoad load;
  private final OverloadEstimator overload;
  private final ServerAvailability availability;

  ResponseSender(
      PolicyContext context,
      RequestTable requests,
      CoreLoad load,
      OverloadEstimator overload,
      ServerAvailability availability) {
    this.context = context;
    this.requests = requests;
    this.load = load;
    this.overload = overload;
    this.availability = availability;
  }

  /** Answers a request if it still awaits an answer: rejects it if allowed, otherwise fails it. */
  void answer(TrackedRequest tracked) {
    if (!tracked.awaitingResponse) {
      return;
    }
    if (tracked.mayBeRejected()) {
      reject(tracked);
      return;
    }
    tracked.awaitingResponse = false;
    context.actions.fail(tracked.id());
    release(tracked);
  }

  /** Rejects a request, and answers the attached attempts that wait for its result. */
  void reject(TrackedRequest tracked) {
    IdempotentExecution execution = tracked.execution;
    if (execution != null && execution.leader == tracked) {
      execution.leader = null;
      for (TrackedRequest other : List.copyOf(requests.active())) {
        if (other.execution == execution && other.state == RequestState.ATTACHED) {
          answer(other); // that attempt never ran either
        }
      }
    }
    tracked.awaitingResponse = false;
    boolean closed = availability.isClosed();
    long retryAfterUs = (long) (retryAfterShare(closed) * context.settings().maxRetryAfterUs());
    context.actions.reject(tracked.id(), retryAfterUs, !closed && !mayTryElsewhere(tracked));
    release(tracked);
  }

  /** Returns the Retry-After for a caller, as a share of the longest one. */
  private double retryAfterShare(boolean closed) {
    if (closed) {
      return 1;
    }
    if (overload.hasBacklog()) {
      return 0.5 + 0.5 * context.random.nextDouble();
    }
    double longest = Math.min(1, RETRY_AFTER_PER_READ_SHARE * load.readShare());
    return longest * context.random.nextDouble();
  }

  /**
   * Returns whether the caller may try another server. A first attempt may do so if retries are
   * marked and this server rarely rejects, since the overload is then probably limited to this
   * server. Trade-off: if all servers are equally loaded, each such attempt costs a read.
   */
  private boolean mayTryElsewhere(TrackedRequest tracked) {
    return context.settings().marksRetries()
        && !tracked.request.retry()
        && overload.rejectsSeldom()
        && !overload.hasBacklog();
  }

  /** Removes a waiting request, or cancels a running one, that needs no answer any more. */
  void release(TrackedRequest tracked) {
    if (tracked.state == RequestState.QUEUED || tracked.state == RequestState.ATTACHED) {
      requests.complete(tracked);
    } else if (tracked.state == RequestState.RUNNING) {
      cancelRun(tracked);
    }
  }

  /**
   * Cancels a run that no caller waits for, to free the cores. A run with an idempotency key
   * continues, since its result may answer a repeated attempt.
   */
  void cancelRun(TrackedRequest tracked) {
    if (context.settings().cancelMode() != CancelMode.OFF
        && !tracked.isKeyed()
        && !tracked.cancelRequested) {
      tracked.cancelRequested = true;
      context.actions.cancel(tracked.id());
    }
  }
}
