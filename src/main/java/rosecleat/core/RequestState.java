package rosecleat.core;

import java.util.EnumSet;
import java.util.Set;

/**
 * The states of a request in flight. Each transition is made by one method of {@link
 * InFlightRequest}; any state may become {@link #CLOSED}.
 *
 * <pre>
 * from             to               method           when
 * ---------------  ---------------  ---------------  ---------------------------------------------
 * QUEUED           RUNNING          startRun         the policy starts the run
 * QUEUED           AWAITING_RESULT  awaitResult      the result of an earlier attempt is awaited
 * RUNNING          CALL_REQUESTED   requestCall      the run pauses for a downstream call
 * CALL_REQUESTED   CALLING          startCall        the policy makes the call
 * CALL_REQUESTED   RUNNING          resumeRun        the call is skipped, or the run is abandoned
 * CALLING          RUNNING          resumeRun        the reply has arrived, or the run is abandoned
 * CALLING          CALL_REQUESTED   callFailed       the call failed; the policy may repeat it
 * RUNNING,         QUEUED           requeue          the run was cancelled while its response was
 * CALL_REQUESTED,                                    still awaited
 * CALLING
 * any              CLOSED           close            the request is no longer in flight
 * </pre>
 */
enum RequestState {
  /** Accepted and not running. */
  QUEUED,
  /** Waiting for the result of an earlier attempt with the same idempotency key. */
  AWAITING_RESULT,
  /** The runner executes the run. */
  RUNNING,
  /** The run is paused until its downstream call is made or skipped. */
  CALL_REQUESTED,
  /** The run is paused and its downstream call is in progress. */
  CALLING,
  /** No longer in flight. */
  CLOSED;

  /** Returns whether a request may change from this state to another one. */
  boolean canTransitionTo(RequestState next) {
    return next == CLOSED || successors().contains(next);
  }

  private Set<RequestState> successors() {
    return switch (this) {
      case QUEUED -> EnumSet.of(RUNNING, AWAITING_RESULT);
      case RUNNING -> EnumSet.of(CALL_REQUESTED, QUEUED);
      case CALL_REQUESTED -> EnumSet.of(CALLING, RUNNING, QUEUED);
      case CALLING -> EnumSet.of(CALL_REQUESTED, RUNNING, QUEUED);
      case AWAITING_RESULT, CLOSED -> EnumSet.noneOf(RequestState.class);
    };
  }
}
