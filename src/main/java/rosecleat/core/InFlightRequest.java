package rosecleat.core;

import rosecleat.policy.PolicyEvent;

/**
 * A request from its submission until it is closed: a state machine (see {@link RequestState}) that
 * sends at most one response. For the core's thread.
 */
final class InFlightRequest {
  private final long sequence;
  private final Request request;
  private final RequestClass requestClass;
  private final long deadlineUs;
  private RequestState state = RequestState.QUEUED;
  private boolean awaitingResponse = true;
  private boolean mayHaveRun;
  private boolean cancelRequested;
  private boolean runsElsewhere;
  private long startedUs;
  private long callNumber;
  private byte[] callBody;
  private long callStartedUs;

  /**
   * Creates a queued request.
   *
   * @param sequence the number that identifies the request in the policy
   * @param request the request as submitted
   * @param requestClass the class at the time of submission; later settings do not affect it
   * @param deadlineUs when the response is due, in Unix microseconds
   */
  InFlightRequest(long sequence, Request request, RequestClass requestClass, long deadlineUs) {
    this.sequence = sequence;
    this.request = request;
    this.requestClass = requestClass;
    this.deadlineUs = deadlineUs;
  }

  /** Returns the number that identifies the request in the policy. */
  long sequence() {
    return sequence;
  }

  /** Returns the id that identifies the request to the runner and the downstream client. */
  String id() {
    return request.id();
  }

  /** Returns the request as submitted. */
  Request request() {
    return request;
  }

  /** Returns the class that the request was submitted with. */
  RequestClass requestClass() {
    return requestClass;
  }

  /** Returns how often the request may be delivered. */
  DeliveryGuarantee deliveryGuarantee() {
    return requestClass.deliveryGuarantee();
  }

  /** Returns whether the request carries an idempotency key. */
  boolean idempotent() {
    return requestClass.idempotent();
  }

  /** Returns what identifies the attempts of the request. Only for idempotent requests. */
  RequestIdentity identity() {
    return request.identity().orElseThrow();
  }

  /**
   * Returns the event that reports the arrival to the policy.
   *
   * @param nowUs when the request was read, in Unix microseconds
   * @param originalSequence the number of the attempt that this one repeats; 0 for none
   */
  PolicyEvent arrival(long nowUs, long originalSequence) {
    return new PolicyEvent.Arrived(
        sequence,
        request.classIndex(),
        request.tenantIndex(),
        request.readKey(),
        Math.max(1, deadlineUs - nowUs),
        request.memoryKb(),
        request.rank(),
        request.retry(),
        idempotent(),
        request.callerId(),
        Math.max(0, nowUs - request.arrivedAtUs()),
        originalSequence);
  }

  /** Returns when the response is due, in Unix microseconds. */
  long deadlineUs() {
    return deadlineUs;
  }

  /** Returns the current state. */
  RequestState state() {
    return state;
  }

  /** Returns whether the request is in a state. */
  boolean is(RequestState other) {
    return state == other;
  }

  /** Returns whether the run is paused for a downstream call. */
  boolean pausedForCall() {
    return state == RequestState.CALL_REQUESTED || state == RequestState.CALLING;
  }

  /** Returns whether the caller still waits for the response. */
  boolean awaitingResponse() {
    return awaitingResponse;
  }

  /** Returns whether a run was started, unless it is known never to have executed. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns the progress to report if the attempt fails now. */
  Progress progress() {
    return mayHaveRun ? Progress.MAY_HAVE_RUN : Progress.NOT_SENT;
  }

  /** Returns whether another attempt executes the run that the policy has started. */
  boolean runsElsewhere() {
    return runsElsewhere;
  }

  /** Returns when the run or the wait for another attempt's result began, in Unix microseconds. */
  long startedUs() {
    return startedUs;
  }

  /** Returns the runner's number of the downstream call for which the run is paused. */
  long callNumber() {
    return callNumber;
  }

  /** Returns the body of the downstream call for which the run is paused. */
  byte[] callBody() {
    return callBody;
  }

  /** Returns when the downstream call was made, in Unix microseconds. */
  long callStartedUs() {
    return callStartedUs;
  }

  /** Returns whether a run is in progress whose cancellation has not been requested yet. */
  boolean cancellable() {
    return mayHaveRun
        && !cancelRequested
        && state != RequestState.QUEUED
        && state != RequestState.CLOSED;
  }

  /** Returns whether a run was started and has not ended. */
  boolean runInProgress() {
    return mayHaveRun && state != RequestState.QUEUED;
  }

  /** Records the start of the run. */
  void startRun(long nowUs) {
    transitionTo(RequestState.RUNNING);
    mayHaveRun = true;
    startedUs = nowUs;
  }

  /** Makes the request wait for the result of an earlier attempt with the same idempotency key. */
  void awaitResult(long nowUs) {
    transitionTo(RequestState.AWAITING_RESULT);
    startedUs = nowUs;
  }

  /**
   * Makes the request wait for another attempt, here or in a peer process, which executes the run
   * that the policy started.
   */
  void awaitRunElsewhere(long nowUs) {
    awaitResult(nowUs);
    runsElsewhere = true;
  }

  /** Marks the request as no longer waiting for another attempt. */
  void stopAwaitingRunElsewhere() {
    runsElsewhere = false;
  }

  /** Pauses the run for a downstream call. */
  void requestCall(long number, byte[] body) {
    transitionTo(RequestState.CALL_REQUESTED);
    callNumber = number;
    callBody = body;
  }

  /** Records that the downstream call is made. */
  void startCall(long nowUs) {
    transitionTo(RequestState.CALLING);
    callStartedUs = nowUs;
  }

  /** Records that the downstream call has ended without a reply. The run stays paused. */
  void callFailed() {
    transitionTo(RequestState.CALL_REQUESTED);
  }

  /** Resumes the paused run. */
  void resumeRun() {
    transitionTo(RequestState.RUNNING);
  }

  /** Queues the request again after its run was cancelled. */
  void requeue() {
    transitionTo(RequestState.QUEUED);
  }

  /** Closes the request. Idempotent. */
  void close() {
    transitionTo(RequestState.CLOSED);
  }

  private void transitionTo(RequestState next) {
    assert state.canTransitionTo(next) : state + " to " + next;
    state = next;
  }

  /** Records that the runner was requested to cancel the run. */
  void requestCancel() {
    cancelRequested = true;
  }

  /** Records that the runner has cancelled the run. */
  void runCancelled() {
    cancelRequested = false;
  }

  /** Records that no run of the request has executed. */
  void markNeverRan() {
    mayHaveRun = false;
  }

  /** Records that the caller has cancelled the request: no response will be sent. */
  void cancelledByCaller() {
    awaitingResponse = false;
  }

  /** Sends the response. Must only be called while {@link #awaitingResponse} returns true. */
  void respond(Response response) {
    awaitingResponse = false;
    request.responder().respond(response);
  }
}
