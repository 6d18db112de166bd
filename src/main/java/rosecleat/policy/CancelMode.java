package rosecleat.policy;

/** How the server can stop a running request. */
public enum CancelMode {
  /** A run cannot be stopped and continues to its end. */
  OFF,
  /** The run is discarded; a request that still needs an answer is queued again. */
  DROP,
  /** The run is paused; a request that still needs an answer is queued again. */
  PAUSE
}
