package rosecleat.core;

/** The response to a request. Each request gets at most one. */
public sealed interface Response {
  /**
   * Returns the response to a malformed request.
   *
   * @param detail what is wrong with the request
   */
  static Response invalidRequest(String detail) {
    return new Failed(
        new Failure(Progress.NOT_SENT, FailureReason.INVALID_REQUEST, detail), FailureCause.CALLER);
  }

  /** Returns the response to a request that failed. */
  static Response failed(Progress progress, FailureReason reason, FailureCause cause) {
    return new Failed(new Failure(progress, reason), cause);
  }

  /** Returns a rejection that does not advise the caller when to retry. */
  static Response rejected() {
    return new Rejected(0, false);
  }

  /** The result of the request's run, or of an earlier attempt with the same idempotency key. */
  record Completed(byte[] result) implements Response {}

  /**
   * The request was rejected and never ran.
   *
   * @param retryAfterUs how long the caller is advised to wait before retrying, in microseconds; 0
   *     for no advice
   * @param last whether the caller is advised not to retry at all
   */
  record Rejected(long retryAfterUs, boolean last) implements Response {}

  /** The request failed; the failure states how far the attempt had got. */
  record Failed(Failure failure, FailureCause cause) implements Response {}
}
