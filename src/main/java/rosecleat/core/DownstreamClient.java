package rosecleat.core;

/**
 * Makes the calls of paused runs to the downstream service, which all nodes share. Results are
 * reported to {@link Core#callEnded} on the core's thread.
 */
public interface DownstreamClient {
  /**
   * Makes a call for a request.
   *
   * @param id the request's id
   * @param untilUs the Unix time in microseconds at which the call times out
   * @param body the body of the call, sent unchanged
   */
  void call(String id, long untilUs, byte[] body);

  /** Cancels the call of a request. No result is reported for a cancelled call. */
  void cancel(String id);
}
