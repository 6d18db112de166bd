package rosecleat.policy;

/** A command to the host; see {@link PolicyActions} for the meaning of each command. */
public sealed interface PolicyCommand {
  /** Run a queued request. */
  record Run(long id) implements PolicyCommand {}

  /** Reject a request. */
  record Reject(long id, long retryAfterUs, boolean noRetry) implements PolicyCommand {}

  /** Fail a request. */
  record Fail(long id) implements PolicyCommand {}

  /** Cancel a run. */
  record Cancel(long id) implements PolicyCommand {}

  /** Make a request's downstream call, which times out at {@code untilUs}. */
  record Call(long id, long untilUs) implements PolicyCommand {}

  /** Resume a request without its downstream call. */
  record SkipCall(long id) implements PolicyCommand {}

  /** Store a request's idempotency key for {@code forUs}. */
  record RememberKey(long id, long forUs) implements PolicyCommand {}

  /** Remove a request's idempotency key. */
  record ForgetKey(long id) implements PolicyCommand {}

  /** Answer a request with the result of the request that it repeats. */
  record ReplayResult(long id) implements PolicyCommand {}

  /** Set the answer to health checks. */
  record SetHealth(boolean healthy) implements PolicyCommand {}

  /** Set the load advice value that accompanies each answer. */
  record SetLoadAdvice(double value) implements PolicyCommand {}

  /** Set how long idle connections stay open (us); 0 is the longest time that the host allows. */
  record SetIdleTimeout(long timeoutUs) implements PolicyCommand {}

  /** Write a line to the log. */
  record LogLine(String line) implements PolicyCommand {}
}
