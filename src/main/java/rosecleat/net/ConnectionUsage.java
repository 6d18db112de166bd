package rosecleat.net;

/** What would be lost if a connection were closed now. */
public enum ConnectionUsage {
  /** Nothing would be lost: no complete message has been received yet. */
  UNUSED,
  /** Nothing would be lost: every received message has been answered. */
  IDLE,
  /** A partly received message or an outstanding response would be lost. */
  BUSY
}
