package rosecleat.core;

/** Delivers the response to one request to its caller. */
public interface Responder {
  /**
   * Sends the response. Called at most once, on the core's thread. Implementations must not call
   * back into the core.
   */
  void respond(Response response);
}
