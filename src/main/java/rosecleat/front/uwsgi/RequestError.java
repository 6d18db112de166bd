package rosecleat.front.uwsgi;

import java.util.Map;

/**
 * The reason why a client's request is invalid.
 *
 * @param kind what is wrong
 * @param subject the var, modifier or list of methods that the error refers to; empty if the error
 *     refers to none
 */
record RequestError(Kind kind, String subject) {
  /** What is wrong with a request, with the status and the text of the response. */
  enum Kind {
    UNSUPPORTED_MODIFIER(400, "modifier %s is not served"),
    VARS_TOO_LONG(413, "the vars are too long"),
    /** A var extends past the end of the packet's vars, or has an empty name. */
    MALFORMED_VARS(400, "a var runs past the packet"),
    /** A var occurs twice with different values, and neither takes precedence. */
    CONFLICTING_VARS(400, "a var is given twice"),
    MALFORMED_CONTENT_LENGTH(400, "CONTENT_LENGTH is no length"),
    BODY_TOO_LONG(413, "the body is too long"),
    MISSING_METHOD_OR_PATH(400, "REQUEST_METHOD or PATH_INFO is missing"),
    UNKNOWN_OPERATION(404, "no such operation"),
    /** The path has operations, but not with this method; the subject lists the allowed methods. */
    METHOD_NOT_ALLOWED(405, "the operation has other methods"),
    UNKNOWN_TEAM(403, "the team has no budget with this service"),
    MALFORMED_TIMEOUT(400, "%s is no number of milliseconds"),
    MALFORMED_IDEMPOTENCY_KEY(400, "%s is missing or malformed"),
    MALFORMED_QUERY(400, "QUERY_STRING is malformed");

    private final int status;
    private final String text;

    Kind(int status, String text) {
      this.status = status;
      this.text = text;
    }
  }

  RequestError(Kind kind) {
    this(kind, "");
  }

  /** Returns the response to the invalid request. */
  HttpResponse response() {
    Map<String, String> headers =
        kind == Kind.METHOD_NOT_ALLOWED ? Map.of("Allow", subject) : Map.of();
    return HttpResponse.text(kind.status, headers, String.format(kind.text, subject));
  }
}
