package rosecleat.fleet;

/** One side of an exchange over a connection: frames in turn, from the one that opened it. */
public interface ExchangeSession {
  /**
   * The next frame, given the other's last one (null at the start of the opener's); null where it
   * is over.
   */
  byte[] next(byte[] received, long nowUs);

  /** The connection ended before it was over. */
  default void broken() {}
}
