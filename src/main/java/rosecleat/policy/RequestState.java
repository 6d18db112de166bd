package rosecleat.policy;

/** State of a request on this server. */
enum RequestState {
  /** The request waits for its run to start. */
  QUEUED,
  /** The request runs on the cores. */
  RUNNING,
  /** The request waits for the result of the request that it repeats. */
  ATTACHED,
  /** The run waits for a downstream call that is not made yet. */
  NEEDS_CALL,
  /** The run waits for a downstream call that is outstanding. */
  CALLING,
  /** The request is complete. */
  COMPLETED;

  /** Returns whether the run waits for its downstream call, made or not. */
  boolean atCall() {
    return this == NEEDS_CALL || this == CALLING;
  }
}
