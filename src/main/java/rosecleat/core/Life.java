package rosecleat.core;

/** One request's life as a state machine with exactly one final answer. Belongs to {@link Core}. */
final class Life {
  /** Where the request stands. */
  enum State {
    /** Read and waiting. */
    HELD,
    /** Waiting for the result of another try. */
    ATTACHED,
    /** Handed to its runner. */
    RUNNING,
    /** Its run stands still at a call. */
    AT_CALL,
    /** The call is out. */
    CALLING,
    /** Nothing of it is left here. */
    OVER
  }

  final long seq;
  final Request request;

  /** The class it came with; settings that change later change nothing of it. */
  final Core.RequestClass klass;

  final String tenant;
  final long dueUs;
  State state = State.HELD;
  boolean ran;
  boolean stopping;

  /** The module runs it, and it waits here for another process that does. */
  boolean elsewhere;

  long startedUs;
  long calledUs;
  long notice;
  byte[] callBody;
  private boolean owed = true;

  Life(long seq, Request request, Core.RequestClass klass, String tenant, long dueUs) {
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
  boolean answer(Answer answer) {
    if (!owed) {
      return false;
    }
    owed = false;
    request.front().answer(answer);
    return true;
  }

  boolean atCall() {
    return state == State.AT_CALL || state == State.CALLING;
  }

  /** How far the attempt has come. */
  Progress progress() {
    return ran ? Progress.MAY_HAVE_RUN : Progress.NOT_SENT;
  }
}
