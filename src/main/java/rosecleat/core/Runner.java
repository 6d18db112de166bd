package rosecleat.core;

/**
 * Executes requests. All methods return at once; the outcome is reported to {@link Core} later, on
 * the core's thread.
 */
public interface Runner {
  /**
   * Starts the run of a request whose response is due at {@code deadlineUs}, a Unix time in
   * microseconds. Its end is reported to {@link Core#runEnded}.
   *
   * @param guarantee whether the start may be sent again where it is unknown whether it arrived
   */
  void start(Request request, DeliveryGuarantee guarantee, long deadlineUs);

  /** Cancels a run; its end is still reported. */
  void cancel(String id);

  /** Delivers the reply to the downstream call that a paused run waits for. */
  void completeCall(String id, byte[] reply);

  /**
   * Resumes a paused run without its downstream call.
   *
   * @param id the request's id
   * @param callNumber the number of the call, as given to {@link Core#callRequested}
   */
  void skipCall(String id, long callNumber);

  /**
   * Requests the gauges, where this runner has any; they are reported to {@link
   * Core#gaugesReceived}.
   */
  default void requestGauges() {}
}
