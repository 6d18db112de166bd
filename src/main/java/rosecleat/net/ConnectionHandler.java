package rosecleat.net;

import java.nio.ByteBuffer;
import rosecleat.core.Failure;

/** Receives the events of one {@link Connection}. Every method is called on the event loop. */
public interface ConnectionHandler {
  /**
   * Returns what would be lost if the connection were closed now. A listener at its maximum calls
   * this to choose the connections that it evicts.
   */
  default ConnectionUsage usage() {
    return ConnectionUsage.BUSY;
  }

  /** Returns whether a received message awaits its response; a graceful close waits for it. */
  default boolean hasPendingResponses() {
    return false;
  }

  /**
   * Handles received bytes. The buffer is reused after the call, so the handler must consume or
   * copy all that it needs, unless {@link #leftInput} returns true.
   */
  void received(ByteBuffer bytes);

  /**
   * Returns whether the last call of {@link #received} left input so that other connections get
   * their turn on the event loop. The handler is then called again with the remaining bytes.
   */
  default boolean leftInput() {
    return false;
  }

  /**
   * Returns whether input is dropped once its end has been received, since the peer that sent it
   * awaits no response any more.
   */
  default boolean discardsInputAtEnd() {
    return false;
  }

  /**
   * Handles the end of the connection. Called once, and never from within a call that the handler
   * makes to the connection.
   *
   * @param endOfStream whether the peer closed the connection gracefully
   */
  void closed(Failure failure, boolean endOfStream);
}
