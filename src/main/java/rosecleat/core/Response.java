package rosecleat.core;

/** The one final response to a request. */
public sealed interface Response {
  /**
   * The response to a malformed request.
   *
   * @param detail what is wrong with the request
   */
  static Response invalidRequest(String detail) {
    return new Failed(
        new Failure(Progress.NOT_SENT, FailureReason.INVALID_REQUEST, detail), FailureCause.CALLER);
  }

  /** The result of the request's run, or of an earlier attempt with the same idempotency key. */
  record Completed(byte[] result) implements Response {}

  /**
   * The request was rejected and never ran.
   *
   * @param retryAfterUs how long the caller is advised to wait before it retries, in microseconds;
   *     0 for no advice
   * @param last whether the caller is advised not to retry at all
   */
  record Rejected(long retryAfterUs, boolean last) implements Response {}

  /** The request failed; the failure says how far the attempt had come. */
  record Failed(Failure failure, FailureCause cause) implements Response {}
}
