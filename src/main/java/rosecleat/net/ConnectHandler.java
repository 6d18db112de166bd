package rosecleat.net;

import rosecleat.core.Failure;

/** Receives the outcome of {@link Connection#connect}: one call, on the loop. */
public interface ConnectHandler {
  /** The connection is established; {@link Connection#start} begins to read from it. */
  void connected(Connection connection);

  /** The connection was not established, and nothing was sent. */
  void failed(Failure failure);
}
