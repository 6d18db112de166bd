package rosecleat.policy;

/** What a host has to do; see {@link PolicyActions} for the meaning of each command. */
public sealed interface PolicyCommand {
  /** Run a queued request. */
  record Run(long id) implements PolicyCommand {}

  /** Reject a request. */
  record Reject(long id, long retryAfterUs, boolean noRetry) implements PolicyCommand {}

  /** Fail a request. */
  record Fail(long id) implements PolicyCommand {}

  /** Cancel a run. */
  record Cancel(long id) implements PolicyCommand {}

  /** Make a request's downstream call, and give it up at a time. */
  record Call(long id, long untilUs) implements PolicyCommand {}

  /** Resume a request without its downstream call. */
  record SkipCall(long id) implements PolicyCommand {}

  /** Remember a request's idempotency key for some time. */
  record RememberKey(long id, long forUs) implements PolicyCommand {}

  /** Forget a request's idempotency key. */
  record ForgetKey(long id) implements PolicyCommand {}

  /** Answer a request with the result of the request that it repeats. */
  record ReplayResult(long id) implements PolicyCommand {}

  /** Set what health checks are answered. */
  record SetHealth(boolean healthy) implements PolicyCommand {}

  /** Set the value that goes with each answer. */
  record SetLoadAdvice(double value) implements PolicyCommand {}

  /** Set how long unused connections stay open (us); 0 is the longest that the host allows. */
  record SetIdleTimeout(long timeoutUs) implements PolicyCommand {}

  /** Write a line to the log. */
  record LogLine(String line) implements PolicyCommand {}
}
