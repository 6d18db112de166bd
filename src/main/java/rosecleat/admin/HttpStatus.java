package rosecleat.admin;

/** The HTTP status codes that the admin server sends, with their reason phrases (RFC 9110). */
enum HttpStatus {
  OK(200, "OK"),
  BAD_REQUEST(400, "Bad Request"),
  NOT_FOUND(404, "Not Found"),
  METHOD_NOT_ALLOWED(405, "Method Not Allowed"),
  REQUEST_TIMEOUT(408, "Request Timeout"),
  CONTENT_TOO_LARGE(413, "Content Too Large"),
  HEADER_FIELDS_TOO_LARGE(431, "Request Header Fields Too Large"),
  NOT_IMPLEMENTED(501, "Not Implemented"),
  SERVICE_UNAVAILABLE(503, "Service Unavailable"),
  VERSION_NOT_SUPPORTED(505, "HTTP Version Not Supported");

  private final int code;
  private final String reasonPhrase;

  HttpStatus(int code, String reasonPhrase) {
    this.code = code;
    this.reasonPhrase = reasonPhrase;
  }

  int code() {
    return code;
  }

  String reasonPhrase() {
    return reasonPhrase;
  }
}
