package rosecleat.fleet;

/**
 * One side of an exchange over a connection: the two sides send frames in turn, and the opener
 * begins.
 */
public interface ExchangeSession {
  /**
   * Returns the next frame to send, or null if the exchange is complete.
   *
   * @param received the latest frame of the other side; null for the opener's first frame
   */
  byte[] nextFrame(byte[] received, long nowUs);

  /** Called when the connection failed before the exchange was complete. */
  default void aborted() {}
}
