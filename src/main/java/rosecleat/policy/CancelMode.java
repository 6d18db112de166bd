package rosecleat.policy;

/** What the server can do to a running request. */
public enum CancelMode {
  /** Nothing: a run goes on to its end. */
  OFF,
  /** Its work is lost; a request that still needs an answer is queued again. */
  DROP,
  /** Its work is paused; a request that still needs an answer is queued again. */
  PAUSE
}
