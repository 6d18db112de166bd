package rosecleat.front.resp;

/** The input is no RESP array of bulk strings, so nothing behind it on the stream can be parsed. */
final class RespProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** What is wrong with the input. */
  enum Kind {
    EMPTY_ARRAY,
    /** A header line is longer than any valid one. */
    HEADER_TOO_LONG,
    /** A header line has another type byte, no number or another line end. */
    MALFORMED_HEADER,
    /** An array or a string announces a length over the limit. */
    LENGTH_TOO_LARGE,
    /** A string is not followed by CR LF. */
    UNTERMINATED_STRING
  }

  private final Kind kind;

  /** Creates the exception without a stack trace, since it is an expected outcome of parsing. */
  RespProtocolException(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  Kind kind() {
    return kind;
  }
}
