package rosecleat.core;

/** Why an attempt failed. The texts reach logs and HTTP responses and must not change. */
public enum FailureReason {
  /** Another request with the same id is in flight, so their runs would be indistinguishable. */
  DUPLICATE_REQUEST_ID("a request of this id is in hand"),
  /** The idempotency key was used before with a different body. */
  IDEMPOTENCY_KEY_CONFLICT("the key belongs to another body"),
  /** An earlier attempt with the same idempotency key may have run, so this one must not. */
  EARLIER_ATTEMPT_MAY_HAVE_RUN("another try may have run"),
  /** An earlier attempt with the same idempotency key ran, and its result is not available. */
  EARLIER_ATTEMPT_HAS_NO_RESULT("another try ran and has no result"),
  /** The request is malformed. */
  INVALID_REQUEST("the request is invalid"),
  /** The request was abandoned because its deadline can't be met. */
  ABANDONED("given up"),
  /** The node is stopping and can't wait for the run any longer. */
  NODE_STOPPED("the node is stopped"),
  /** The runner did not start the run because it considers the request closed. */
  RUN_NOT_STARTED("its runner holds it for over"),
  /** The run failed. */
  RUN_FAILED("its run failed"),
  /** The connection that carried the run broke; its outcome is unknown. */
  RUN_INTERRUPTED("its run was cut off"),
  /** The end of the run was never reported. */
  RUN_END_LOST("its end was lost"),
  /** The runner could not be reached, so nothing ran. */
  RUNNER_UNREACHABLE("its runner was not reached"),
  /** No socket could be opened. */
  NO_SOCKET("no socket"),
  /** The connection could not be established. */
  CONNECT_FAILED("not connected"),
  /** Reading from the connection failed. */
  READ_FAILED("read failed"),
  /** Writing to the connection failed. */
  WRITE_FAILED("write failed"),
  /** The peer reads too slowly: the connection's write queue exceeds its limit. */
  WRITE_QUEUE_FULL("the peer does not read"),
  /** The peer has not read anything within the write timeout. */
  WRITE_TIMED_OUT("the peer takes nothing"),
  /** This process closed the connection normally. */
  CLOSED_LOCALLY("closed here"),
  /** The peer closed the connection. */
  CLOSED_BY_PEER("the peer closed"),
  /** The handler of the connection threw an exception. */
  HANDLER_FAILED("failed here"),
  /** This process aborted the connection; the detail gives the reason. */
  ABORTED("");

  private final String text;

  FailureReason(String text) {
    this.text = text;
  }

  /** Returns the text of this reason, followed by the detail unless that is empty. */
  String message(String detail) {
    if (detail.isEmpty()) {
      return text;
    }
    return text.isEmpty() ? detail : text + ": " + detail;
  }
}
