package rosecleat.net;

/** What would be lost if a connection were closed now. */
public enum ConnectionUsage {
  /** Nothing: not one complete message has been received. */
  UNUSED,
  /** Nothing: every message that was received has been answered. */
  IDLE,
  /** A message is being received, or a response is outstanding. */
  BUSY
}
