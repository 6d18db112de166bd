package rosecleat.front.resp;

/** Thrown if a message is not a valid request; caught within the decoder. */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient RequestError error;

  /**
   * Creates an exception without a stack trace, since an invalid request is an expected outcome of
   * decoding.
   */
  InvalidRequestException(RequestError error) {
    super(error.description(), null, false, false);
    this.error = error;
  }

  InvalidRequestException(RequestError.Kind kind) {
    this(new RequestError(kind));
  }

  RequestError error() {
    return error;
  }
}
