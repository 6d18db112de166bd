package rosecleat.policy;

import java.util.List;

/**
 * What a server's host tells its policy. The host calls these methods from one thread, in the order
 * in which things happened, with the time in microseconds on a clock that never goes back. The
 * {@link PolicyActions} are called back before the event returns. All times and spans are
 * microseconds, all sizes kilobytes.
 */
public interface PolicyEvents {

  /** The process has started; comes once, before any other event. */
  void start(long now);

  /**
   * The settings have changed. Requests in flight keep the class they arrived with.
   *
   * @param reassignedClasses the indexes that stand for another class than before
   */
  void reconfigured(long now, PolicySettings settings, List<Integer> reassignedClasses);

  /** A request has been read and is queued; the host owes it one final answer. */
  void arrived(long now, PolicyRequest request);

  /** A run, or the replay of a result, has ended {@code tookUs} after it was started. */
  void ended(long now, long id, Outcome outcome, long tookUs);

  /**
   * A running request waits until its downstream call is made or skipped, or until it is failed.
   */
  void callNeeded(long now, long id);

  /** A downstream call has ended, {@code tookUs} after it was made. */
  void callEnded(long now, long id, Outcome outcome, long tookUs);

  /** The caller has cancelled the request or disconnected; no answer is owed any more. */
  void cancelled(long now, long id);

  /**
   * A timer of {@link PolicyActions#startTimer} has fired. The host may reuse the gauges object
   * afterwards.
   */
  void timerFired(long now, long tag, ServerGauges gauges);

  /** The server drains: its process is stopped {@code remainingUs} from now. */
  void draining(long now, long remainingUs);
}
