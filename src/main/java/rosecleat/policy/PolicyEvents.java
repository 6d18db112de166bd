package rosecleat.policy;

import java.util.List;

/**
 * The events that a host reports to the policy of its server. The host calls these methods from one
 * thread, in the order of the events, with the time of a monotonic clock. The policy calls {@link
 * PolicyActions} before the method returns. All times and durations are in microseconds, all sizes
 * in kilobytes.
 */
public interface PolicyEvents {

  /** The process has started. Called once, before any other event. */
  void start(long now);

  /**
   * The settings have changed. Requests in flight retain the class with which they arrived.
   *
   * @param reassignedClasses the indexes that now refer to another class than before
   */
  void reconfigured(long now, PolicySettings settings, List<Integer> reassignedClasses);

  /** A request has been read and queued; it must get exactly one final answer. */
  void arrived(long now, PolicyRequest request);

  /** A run, or the replay of a result, has ended {@code tookUs} after its start. */
  void ended(long now, long id, Outcome outcome, long tookUs);

  /** A running request waits for its downstream call to be made or skipped, or for its failure. */
  void callNeeded(long now, long id);

  /** A downstream call has ended, {@code tookUs} after it was made. */
  void callEnded(long now, long id, Outcome outcome, long tookUs);

  /** The caller has cancelled the request or disconnected, so no answer is needed any more. */
  void cancelled(long now, long id);

  /**
   * A timer of {@link PolicyActions#startTimer} has fired. The host may reuse the gauges object
   * after the method returns.
   */
  void timerFired(long now, long tag, ServerGauges gauges);

  /** The server has started to drain, and its process stops {@code remainingUs} from now. */
  void draining(long now, long remainingUs);
}
