package rosecleat.core;

/** Cancels a submitted request. */
public interface RequestHandle {
  /**
   * Cancels the request because its caller has disconnected. No response will be sent. Idempotent.
   */
  void cancel();
}
