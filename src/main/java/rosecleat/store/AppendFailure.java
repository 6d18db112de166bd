package rosecleat.store;

/**
 * The reason why accepted records were not written.
 *
 * @param cause the kind of failure
 * @param message a human-readable description without a final full stop
 */
public record AppendFailure(Cause cause, String message) {
  /** The kind of failure. */
  public enum Cause {
    /** The store was closed before it wrote the records. */
    CLOSED,
    /** An earlier write failed, and the retry delay has not passed yet. */
    BACKOFF,
    /** The write or the sync failed, or the store has reached its size limit. */
    WRITE_FAILED
  }

  static AppendFailure closed() {
    return new AppendFailure(Cause.CLOSED, "store is closed");
  }

  static AppendFailure backoff() {
    return new AppendFailure(
        Cause.BACKOFF,
        "write not attempted: an earlier write failed and the retry delay has not passed");
  }

  static AppendFailure writeFailed(Exception error) {
    return new AppendFailure(Cause.WRITE_FAILED, String.valueOf(error.getMessage()));
  }
}
