package rosecleat.front.uwsgi;

import java.util.Map;

/** The reason phrases of HTTP status codes (RFC 9110). */
final class ReasonPhrases {
  /** The phrase of every status that is not listed here. */
  private static final String UNKNOWN = "Status";

  private static final Map<Integer, String> PHRASES =
      Map.ofEntries(
          Map.entry(200, "OK"),
          Map.entry(201, "Created"),
          Map.entry(202, "Accepted"),
          Map.entry(204, "No Content"),
          Map.entry(206, "Partial Content"),
          Map.entry(301, "Moved Permanently"),
          Map.entry(302, "Found"),
          Map.entry(303, "See Other"),
          Map.entry(304, "Not Modified"),
          Map.entry(307, "Temporary Redirect"),
          Map.entry(308, "Permanent Redirect"),
          Map.entry(400, "Bad Request"),
          Map.entry(401, "Unauthorized"),
          Map.entry(403, "Forbidden"),
          Map.entry(404, "Not Found"),
          Map.entry(405, "Method Not Allowed"),
          Map.entry(406, "Not Acceptable"),
          Map.entry(409, "Conflict"),
          Map.entry(410, "Gone"),
          Map.entry(412, "Precondition Failed"),
          Map.entry(413, "Content Too Large"),
          Map.entry(415, "Unsupported Media Type"),
          Map.entry(422, "Unprocessable Content"),
          Map.entry(429, "Too Many Requests"),
          Map.entry(500, "Internal Server Error"),
          Map.entry(501, "Not Implemented"),
          Map.entry(502, "Bad Gateway"),
          Map.entry(503, "Service Unavailable"),
          Map.entry(504, "Gateway Timeout"));

  private ReasonPhrases() {}

  /** Returns the phrase of the status. */
  static String of(int status) {
    return PHRASES.getOrDefault(status, UNKNOWN);
  }
}
