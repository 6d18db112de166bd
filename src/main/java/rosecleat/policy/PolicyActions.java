package rosecleat.policy;

/**
 * What the host does for the policy. Each action refers to one server and is called back on the
 * host's thread before the event that caused it returns. Times are microseconds.
 */
public interface PolicyActions {
  /** Starts a queued request, or resumes a paused one. */
  void run(long id);

  /**
   * Final answer: the request is rejected, and this attempt never ran.
   *
   * @param retryAfterUs how long the caller should wait before it comes back
   * @param noRetry whether the caller should not try another server
   */
  void reject(long id, long retryAfterUs, boolean noRetry);

  /** Final answer: the request failed, and may have taken effect. */
  void fail(long id);

  /** Stops a running request, in the way that {@link PolicySettings#cancelMode} names. */
  void cancel(long id);

  /** Makes the downstream call that the request waits for; it is given up at {@code untilUs}. */
  void call(long id, long untilUs);

  /** Resumes the request without its downstream call. */
  void skipCall(long id);

  /** Puts the request's idempotency key into the table, for {@code forUs} from now. */
  void rememberKey(long id, long forUs);

  /** Takes the request's idempotency key out of the table. */
  void forgetKey(long id);

  /** Answers a queued request with the result of the request that it repeats. */
  void replayResult(long id);

  /**
   * Sets what health checks are answered from now on.
   *
   * @param shallow whether checks are answered without doing any of the server's work
   */
  void setHealth(boolean healthy, boolean shallow);

  /** Sets the value that goes with each answer, see {@link PolicySettings#loadAdviceMode}. */
  void setLoadAdvice(double value);

  /** Closes connections that were idle for so long; 0 is the longest that the host allows. */
  void setIdleTimeout(long timeoutUs);

  /** Asks for {@link PolicyEvents#timerFired} so long from now. */
  void startTimer(long inUs, long tag);

  /** Writes a line to the log. */
  void log(String line);
}
