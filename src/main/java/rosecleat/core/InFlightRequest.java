package rosecleat.core;

/**
 * One request from its submission until nothing of it is left here: a state machine (see {@link
 * RequestState}) that sends exactly one response. For the core's thread.
 */
final class InFlightRequest {
  private final long sequence;
  private final Request request;
  private final RequestClass requestClass;
  private final String tenantName;
  private final long deadlineUs;
  private RequestState state = RequestState.QUEUED;
  private boolean awaitingResponse = true;
  private boolean mayHaveRun;
  private boolean cancelRequested;
  private boolean runsOnPeerProcess;
  private long startedUs;
  private long callNumber;
  private byte[] callBody;
  private long callStartedUs;

  /**
   * A request that is queued.
   *
   * @param sequence the number by which the policy knows the request
   * @param request the request as submitted
   * @param requestClass the class it was submitted with; later settings change nothing of it
   * @param tenantName the name of its tenant, empty for none
   * @param deadlineUs when its response is due, in Unix microseconds
   */
  InFlightRequest(
      long sequence,
      Request request,
      RequestClass requestClass,
      String tenantName,
      long deadlineUs) {
    this.sequence = sequence;
    this.request = request;
    this.requestClass = requestClass;
    this.tenantName = tenantName;
    this.deadlineUs = deadlineUs;
  }

  /** The number by which the policy knows the request. */
  long sequence() {
    return sequence;
  }

  /** The name by which the runner and the downstream client know the request. */
  String id() {
    return request.id();
  }

  /** The request as submitted. */
  Request request() {
    return request;
  }

  /** The class that the request was submitted with. */
  RequestClass requestClass() {
    return requestClass;
  }

  /** How often the request may be delivered. */
  DeliveryGuarantee deliveryGuarantee() {
    return requestClass.deliveryGuarantee();
  }

  /** Whether the request carries an idempotency key. */
  boolean idempotent() {
    return requestClass.idempotent();
  }

  /** The name of the request's tenant, empty for none. */
  String tenantName() {
    return tenantName;
  }

  /** When the response is due, in Unix microseconds. */
  long deadlineUs() {
    return deadlineUs;
  }

  /** Where the request stands. */
  RequestState state() {
    return state;
  }

  /** Whether the request is in a state. */
  boolean is(RequestState other) {
    return state == other;
  }

  /** Whether its run is paused for a downstream call. */
  boolean pausedForCall() {
    return state == RequestState.CALL_REQUESTED || state == RequestState.CALLING;
  }

  /** Whether the caller still waits for the response. */
  boolean awaitingResponse() {
    return awaitingResponse;
  }

  /** Whether a run was started and is not proven never to have executed. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** How far the attempt has come, as a failure now would report it. */
  Progress progress() {
    return mayHaveRun ? Progress.MAY_HAVE_RUN : Progress.NOT_SENT;
  }

  /** Whether a peer process executes the run that the policy has started here. */
  boolean runsOnPeerProcess() {
    return runsOnPeerProcess;
  }

  /** When the run, or the wait for another attempt's result, began, in Unix microseconds. */
  long startedUs() {
    return startedUs;
  }

  /** The runner's number of the downstream call that the run is paused for. */
  long callNumber() {
    return callNumber;
  }

  /** The body of the downstream call that the run is paused for. */
  byte[] callBody() {
    return callBody;
  }

  /** When the downstream call was made, in Unix microseconds. */
  long callStartedUs() {
    return callStartedUs;
  }

  /** Whether a run is in progress whose cancellation has not been requested yet. */
  boolean cancellable() {
    return mayHaveRun
        && !cancelRequested
        && state != RequestState.QUEUED
        && state != RequestState.CLOSED;
  }

  /** Whether the end of a run concerns this request. */
  boolean runInProgress() {
    return mayHaveRun && state != RequestState.QUEUED;
  }

  /** The run starts. */
  void startRun(long nowUs) {
    transitionTo(RequestState.RUNNING);
    mayHaveRun = true;
    startedUs = nowUs;
  }

  /** The request waits for the result of an earlier attempt with its idempotency key. */
  void awaitResult(long nowUs) {
    transitionTo(RequestState.AWAITING_RESULT);
    startedUs = nowUs;
  }

  /** The run that the policy has started executes in a peer process, whose result is awaited. */
  void awaitPeerProcess(long nowUs) {
    awaitResult(nowUs);
    runsOnPeerProcess = true;
  }

  /** The peer process's run concerns this request no longer. */
  void stopAwaitingPeerProcess() {
    runsOnPeerProcess = false;
  }

  /** The run pauses for a downstream call. */
  void requestCall(long number, byte[] body) {
    transitionTo(RequestState.CALL_REQUESTED);
    callNumber = number;
    callBody = body;
  }

  /** The downstream call is made. */
  void startCall(long nowUs) {
    transitionTo(RequestState.CALLING);
    callStartedUs = nowUs;
  }

  /** The downstream call has no reply; the run stays paused. */
  void callFailed() {
    transitionTo(RequestState.CALL_REQUESTED);
  }

  /** The run is not paused any longer. */
  void resumeRun() {
    transitionTo(RequestState.RUNNING);
  }

  /** The run was cancelled and may be started again. */
  void requeue() {
    transitionTo(RequestState.QUEUED);
  }

  /** Nothing of the request is left here. May be repeated. */
  void close() {
    transitionTo(RequestState.CLOSED);
  }

  private void transitionTo(RequestState next) {
    assert state.canTransitionTo(next) : state + " to " + next;
    state = next;
  }

  /** The runner is asked to cancel the run. */
  void requestCancel() {
    cancelRequested = true;
  }

  /** The runner has cancelled the run. */
  void runCancelled() {
    cancelRequested = false;
  }

  /** It is proven that no run of the request executed. */
  void markNeverRan() {
    mayHaveRun = false;
  }

  /** The caller is gone: no response will be sent. */
  void cancelledByCaller() {
    awaitingResponse = false;
  }

  /** Sends the response. Call only while {@link #awaitingResponse}. */
  void respond(Response response) {
    awaitingResponse = false;
    request.responder().respond(response);
  }
}
