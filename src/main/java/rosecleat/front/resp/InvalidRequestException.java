package rosecleat.front.resp;

/** A message is not a valid request. Thrown and caught within the decoder. */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient RequestError error;

  /** Creates the exception without a stack trace, since it is an expected outcome of decoding. */
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
