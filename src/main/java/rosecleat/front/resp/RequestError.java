package rosecleat.front.resp;

/**
 * The reason for which a message is rejected as an invalid request. The client receives {@code
 * FAILED}, and the description is logged.
 *
 * @param kind the kind of error
 * @param field the name of the invalid or missing field; empty for errors of other kinds
 */
record RequestError(Kind kind, String field) {
  /** The kinds of errors in a message. */
  enum Kind {
    MISSING_CLASS_OR_FIELDS("class or fields are missing or too long"),
    BODY_TOO_LONG("body exceeds its size limit"),
    UNKNOWN_CLASS("request class is unknown"),
    MALFORMED_FIELDS("fields are not a list of unique name=value pairs"),
    MISSING_FIELD("field %s is missing"),
    INVALID_FIELD("field %s has a malformed or unknown value"),
    UNKNOWN_COMMAND("command is unknown"),
    DUPLICATE_TAG("tag was used before or is too old"),
    TOO_MANY_IN_FLIGHT("too many requests are in flight on the connection");

    private final String description;

    Kind(String description) {
      this.description = description;
    }
  }

  RequestError(Kind kind) {
    this(kind, "");
  }

  /** Returns the description that is logged. */
  String description() {
    return String.format(kind.description, field);
  }
}
