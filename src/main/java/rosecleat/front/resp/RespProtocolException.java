package rosecleat.front.resp;

/**
 * Thrown if the input is not a RESP array of bulk strings. The rest of the stream cannot be parsed
 * then.
 */
final class RespProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The kinds of malformed input. */
  enum Kind {
    EMPTY_ARRAY,
    /** A header line is longer than any valid one. */
    HEADER_TOO_LONG,
    /** A header line has a wrong type byte, no number or a wrong line terminator. */
    MALFORMED_HEADER,
    /** The announced length of an array or a string exceeds the limit. */
    LENGTH_TOO_LARGE,
    /** A string is not followed by CR LF. */
    UNTERMINATED_STRING
  }

  private final Kind kind;

  /**
   * Creates an exception without a stack trace, since malformed input is an expected outcome of
   * parsing.
   */
  RespProtocolException(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  Kind kind() {
    return kind;
  }
}
