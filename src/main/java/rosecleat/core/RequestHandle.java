package rosecleat.core;

/** Lets whoever submitted a request cancel it. */
public interface RequestHandle {
  /** Cancels the request, as its caller is gone: no response will be sent. Idempotent. */
  void cancel();
}
