package rosecleat.core;

/** What does the work of requests. Its orders return at once; what becomes of them is told to {@link Core}. */
public interface Runner {
  /** How a run ended. */
  enum End { OK, FAILED, HALTED, VOID }

  /** Begins a run. */
  void start(String id, String kind, byte[] body, long untilUs);

  /** Stops a run; its end is told all the same. */
  void stop(String id);

  /** Hands a waiting run the reply to its call. */
  void give(String id, byte[] reply);

  /** Lets a waiting run go on without the call that notice {@code notice} asked for. */
  void omit(String id, long notice);

  /** Asks for the gauges, where this runner has any. */
  default void askGauges() { }
}
