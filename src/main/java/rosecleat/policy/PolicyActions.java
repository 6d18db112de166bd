package rosecleat.policy;

/**
 * The actions that a host performs for the policy of one server. The policy calls them on the
 * host's thread, before the event that caused them returns. Times are in microseconds.
 */
public interface PolicyActions {
  /** Starts a queued request, or resumes a paused one. */
  void run(long id);

  /**
   * Rejects the request with a final answer; this attempt never ran.
   *
   * @param retryAfterUs how long the caller should wait before it sends requests again
   * @param noRetry whether the caller should not try another server
   */
  void reject(long id, long retryAfterUs, boolean noRetry);

  /** Fails the request with a final answer; the request may have taken effect. */
  void fail(long id);

  /** Stops a running request, according to {@link PolicySettings#cancelMode}. */
  void cancel(long id);

  /**
   * Makes the downstream call that the request waits for; the call times out at {@code untilUs}.
   */
  void call(long id, long untilUs);

  /** Resumes the request without its downstream call. */
  void skipCall(long id);

  /** Stores the request's idempotency key for {@code forUs} from now. */
  void rememberKey(long id, long forUs);

  /** Removes the request's idempotency key. */
  void forgetKey(long id);

  /** Answers a queued request with the result of the request that it repeats. */
  void replayResult(long id);

  /**
   * Sets the answer to health checks from now on.
   *
   * @param shallow whether checks are answered without performing any real work
   */
  void setHealth(boolean healthy, boolean shallow);

  /** Sets the value that accompanies each answer, see {@link PolicySettings#loadAdviceMode}. */
  void setLoadAdvice(double value);

  /** Sets how long connections may be idle; 0 is the longest time that the host allows. */
  void setIdleTimeout(long timeoutUs);

  /** Requests {@link PolicyEvents#timerFired} with {@code tag} after {@code inUs}. */
  void startTimer(long inUs, long tag);

  /** Writes a line to the log. */
  void log(String line);
}
