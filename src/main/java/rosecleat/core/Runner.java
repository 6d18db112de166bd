package rosecleat.core;

/**
 * What does the work of requests. Its orders return at once; what becomes of them is told to {@link
 * Core}.
 */
public interface Runner {
  /** How a run ended. */
  enum End {
    /** It worked. */
    OK,
    /** It ran and failed. */
    FAILED,
    /** It may have run; nothing tells what became of it. */
    CUT,
    /** It was stopped. */
    HALTED,
    /** Nothing was started, as the request is over. */
    VOID,
    /** What should run it was not reached: it never ran. */
    UNREACHED
  }

  /**
   * Begins the run of a request whose answer is due at a time by the Unix clock in microseconds.
   */
  void start(Request request, long dueUs);

  /** Stops a run; its end is told all the same. */
  void stop(String id);

  /** Hands a waiting run the reply to its call. */
  void give(String id, byte[] reply);

  /** Lets a waiting run go on without the call that notice {@code notice} asked for. */
  void omit(String id, long notice);

  /** Asks for the gauges, where this runner has any. */
  default void askGauges() {}
}
