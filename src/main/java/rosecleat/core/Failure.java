package rosecleat.core;

/**
 * An error as a value.
 *
 * @param progress how far the attempt had come
 * @param reason why it went no further
 * @param detail particulars of this failure for logs and responses; empty for none
 */
public record Failure(Progress progress, FailureReason reason, String detail) {
  /** An exception without a message gives no detail: its place shows {@code null}. */
  public Failure {
    detail = String.valueOf(detail);
  }

  /** A failure whose reason needs no particulars. */
  public Failure(Progress progress, FailureReason reason) {
    this(progress, reason, "");
  }

  /** The reason with its particulars, as logs and responses show it. */
  public String message() {
    return reason.message(detail);
  }
}
