package rosecleat.core;

/**
 * A failure of an attempt.
 *
 * @param progress how far the attempt had got
 * @param reason why the attempt failed
 * @param detail details of this failure for logs and responses; empty for none
 */
public record Failure(Progress progress, FailureReason reason, String detail) {
  /** Replaces a null detail, as from an exception without a message, by the text {@code null}. */
  public Failure {
    detail = String.valueOf(detail);
  }

  /** Creates a failure without details. */
  public Failure(Progress progress, FailureReason reason) {
    this(progress, reason, "");
  }

  /** Returns the reason and the details, as shown in logs and responses. */
  public String message() {
    return reason.message(detail);
  }
}
