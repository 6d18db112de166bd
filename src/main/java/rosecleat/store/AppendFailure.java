package rosecleat.store;

/**
 * Why accepted records were not written.
 *
 * @param cause the kind of failure
 * @param message a clause for people
 */
public record AppendFailure(Cause cause, String message) {
  /** The kind of failure. */
  public enum Cause {
    /** The store was closed in the meantime. */
    CLOSED,
    /** An earlier write failed, and the disk is not tried again yet. */
    BACKOFF,
    /** The write or the sync failed, or the store is full. */
    WRITE_FAILED
  }

  static AppendFailure closed() {
    return new AppendFailure(Cause.CLOSED, "the store is closed");
  }

  static AppendFailure backoff() {
    return new AppendFailure(Cause.BACKOFF, "the disk failed a moment ago");
  }

  static AppendFailure writeFailed(Exception error) {
    return new AppendFailure(Cause.WRITE_FAILED, String.valueOf(error.getMessage()));
  }
}
