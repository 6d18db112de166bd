package rosecleat.fleet;

/** One side of an exchange over a connection: frames in turn, from the side that opened it. */
public interface ExchangeSession {
  /**
   * The next frame to send, given the other side's latest one (null for the opener's first); null
   * where the exchange is complete.
   */
  byte[] nextFrame(byte[] received, long nowUs);

  /** The connection failed before the exchange was complete. */
  default void aborted() {}
}
