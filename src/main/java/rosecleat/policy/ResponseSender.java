package rosecleat.policy;

import java.util.List;

/** Gives final answers: rejections where it is true that nothing ran, failures otherwise. */
final class ResponseSender {
  /** Longest Retry-After per share of the cores that reads take; chosen here. */
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

  /** Answers a request that is owed an answer: rejects it where that is true, else fails it. */
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

  /** Rejects a request, and the attached attempts that wait for it. */
  void reject(TrackedRequest tracked) {
    IdempotentExecution execution = tracked.execution;
    if (execution != null && execution.leader == tracked) {
      execution.leader = null;
      for (TrackedRequest other : List.copyOf(requests.active())) {
        if (other.execution == execution && other.state == RequestState.ATTACHED) {
          answer(other); // it never ran either
        }
      }
    }
    tracked.awaitingResponse = false;
    boolean closed = availability.isClosed();
    long retryAfterUs = (long) (retryAfterShare(closed) * context.settings().maxRetryAfterUs());
    context.actions.reject(tracked.id(), retryAfterUs, !closed && !mayTryElsewhere(tracked));
    release(tracked);
  }

  /** The part of the longest Retry-After that a caller is advised. */
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
   * A first attempt may go on to another server once, where retries are marked and this server
   * rejects seldom: then the fault is likely its own. Harm: where all servers are that full, each
   * such attempt costs a read.
   */
  private boolean mayTryElsewhere(TrackedRequest tracked) {
    return context.settings().marksRetries()
        && !tracked.request.retry()
        && overload.rejectsSeldom()
        && !overload.hasBacklog();
  }

  /** Nothing is owed for a request any more: drops what waits, stops what runs. */
  void release(TrackedRequest tracked) {
    if (tracked.state == RequestState.QUEUED || tracked.state == RequestState.ATTACHED) {
      requests.complete(tracked);
    } else if (tracked.state == RequestState.RUNNING) {
      cancelRun(tracked);
    }
  }

  /**
   * Frees the cores of work that nobody waits for; a run with an idempotency key goes on, as its
   * result may answer a repeated attempt.
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
