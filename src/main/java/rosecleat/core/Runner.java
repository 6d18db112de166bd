package rosecleat.core;

/**
 * Executes requests. No method blocks; outcomes are reported to {@link Core} later, on the core's
 * thread.
 */
public interface Runner {
  /**
   * Starts the run of a request. The end of the run is reported to {@link Core#runEnded}.
   *
   * @param guarantee whether the start command may be sent again if it is unknown whether it
   *     arrived
   * @param deadlineUs when the response is due, in Unix microseconds
   */
  void start(Request request, DeliveryGuarantee guarantee, long deadlineUs);

  /** Cancels a run. The end of the run is still reported. */
  void cancel(String id);

  /** Delivers the reply to the downstream call that a paused run waits for. */
  void completeCall(String id, byte[] reply);

  /**
   * Resumes a paused run without the downstream call that it requested.
   *
   * @param id the request's id
   * @param callNumber the number of the call, as given to {@link Core#callRequested}
   */
  void skipCall(String id, long callNumber);

  /**
   * Requests the current gauge values, which are reported to {@link Core#gaugesReceived}. Does
   * nothing by default, for runners without gauges.
   */
  default void requestGauges() {}
}
