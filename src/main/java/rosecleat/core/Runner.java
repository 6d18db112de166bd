package rosecleat.core;

/**
 * Executes requests. All methods return at once; the outcome is reported to {@link Core} later, on
 * the core's thread.
 */
public interface Runner {
  /**
   * Starts the run of a request whose response is due at a Unix time in microseconds. Its end is
   * reported to {@link Core#ended}.
   */
  void start(Request request, long dueUs);

  /** Cancels a run; its end is still reported. */
  void stop(String id);

  /** Delivers the reply to the downstream call that a paused run waits for. */
  void give(String id, byte[] reply);

  /** Resumes a paused run without the downstream call that its notice {@code notice} requested. */
  void omit(String id, long notice);

  /** Requests the gauges, where this runner has any; they are reported to {@link Core#gauges}. */
  default void askGauges() {}
}
