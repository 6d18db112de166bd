package rosecleat.front.resp;

/**
 * Why a message is not a request that can be served. The client is answered {@code FAILED}; the
 * description goes to the log.
 *
 * @param kind what is wrong
 * @param field the name of the field that it is about; empty where it is about none
 */
record RequestError(Kind kind, String field) {
  /** What is wrong with a message. */
  enum Kind {
    MISSING_CLASS_OR_FIELDS("it lacks a class or fields"),
    BODY_TOO_LONG("its body is too long"),
    UNKNOWN_CLASS("its class is unknown"),
    MALFORMED_FIELDS("its fields are no pairs"),
    MISSING_FIELD("field %s is missing"),
    INVALID_FIELD("field %s is malformed or unknown"),
    UNKNOWN_COMMAND("its word is unknown"),
    DUPLICATE_TAG("its tag was used before"),
    TOO_MANY_IN_FLIGHT("too many requests are open on its connection");

    private final String description;

    Kind(String description) {
      this.description = description;
    }
  }

  RequestError(Kind kind) {
    this(kind, "");
  }

  /** Returns the error as it stands in the log. */
  String description() {
    return String.format(kind.description, field);
  }
}
