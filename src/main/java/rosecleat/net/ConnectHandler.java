package rosecleat.net;

import rosecleat.core.Failure;

/** Receives the outcome of {@link Connection#connect} in exactly one call on the event loop. */
public interface ConnectHandler {
  /**
   * Called when the connection is established. The handler calls {@link Connection#start} to begin
   * reading.
   */
  void connected(Connection connection);

  /** Called when the connection could not be established; no byte has been sent. */
  void failed(Failure failure);
}
