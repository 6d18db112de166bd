package rosecleat.policy;

/** Where a request is on this server. */
enum RequestState {
  /** It waits to be run. */
  QUEUED,
  /** It runs on the cores. */
  RUNNING,
  /** It waits for the result of the request that it repeats. */
  ATTACHED,
  /** Its run waits for a downstream call that is not made yet. */
  NEEDS_CALL,
  /** Its run waits for a downstream call that is outstanding. */
  CALLING,
  /** It is over. */
  COMPLETED;

  /** Whether a run waits for its downstream call, made or not. */
  boolean atCall() {
    return this == NEEDS_CALL || this == CALLING;
  }
}
