package rosecleat.net;

import java.nio.ByteBuffer;
import rosecleat.core.Failure;

/** Receives the events of one {@link Connection}; every method is called on the loop. */
public interface ConnectionHandler {
  /** Returns what would be lost by closing now; asked when a listener needs room for others. */
  default ConnectionUsage usage() {
    return ConnectionUsage.BUSY;
  }

  /**
   * Returns whether a received message still awaits its response; a graceful close waits for it.
   */
  default boolean hasPendingResponses() {
    return false;
  }

  /** Handles received bytes; the buffer is reused, so all of it must be consumed or copied. */
  void received(ByteBuffer bytes);

  /**
   * Handles the end of the connection; called once, and never from within a call of the handler
   * into the connection.
   *
   * @param endOfStream whether the peer closed the connection in order
   */
  void closed(Failure failure, boolean endOfStream);
}
