package rosecleat.core;

/** Where a request stands. */
enum RequestState {
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
