package rosecleat.core;

/** One request's life as a state machine with exactly one final answer. Belongs to {@link Core}. */
final class InFlightRequest {
  final long seq;
  final Request request;

  /** The class it came with; settings that change later change nothing of it. */
  final RequestClass klass;

  final String tenant;
  final long dueUs;
  RequestState state = RequestState.HELD;
  boolean ran;
  boolean stopping;

  /** The module runs it, and it waits here for another process that does. */
  boolean elsewhere;

  long startedUs;
  long calledUs;
  long notice;
  byte[] callBody;
  private boolean owed = true;

  InFlightRequest(long seq, Request request, RequestClass klass, String tenant, long dueUs) {
    this.seq = seq;
    this.request = request;
    this.klass = klass;
    this.tenant = tenant;
    this.dueUs = dueUs;
  }

  /** Whether its caller still waits for the answer. */
  boolean owed() {
    return owed;
  }

  /** The caller has gone: no answer is owed any more. */
  void gone() {
    owed = false;
  }

  /** Gives the final answer; false where it was given before, or nobody waits. */
  boolean respond(Response response) {
    if (!owed) {
      return false;
    }
    owed = false;
    request.responder().respond(response);
    return true;
  }

  boolean atCall() {
    return state == RequestState.AT_CALL || state == RequestState.CALLING;
  }

  /** How far the attempt has come. */
  Progress progress() {
    return ran ? Progress.MAY_HAVE_RUN : Progress.NOT_SENT;
  }
}
