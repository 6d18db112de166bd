package rosecleat.admin;

/** Why bytes are not a request that the admin server accepts, and the status that answers each. */
enum HttpRequestError {
  MALFORMED_REQUEST_LINE(HttpStatus.BAD_REQUEST),
  UNSUPPORTED_VERSION(HttpStatus.VERSION_NOT_SUPPORTED),
  MALFORMED_HEADER(HttpStatus.BAD_REQUEST),
  MALFORMED_CONTENT_LENGTH(HttpStatus.BAD_REQUEST),
  MISSING_HOST(HttpStatus.BAD_REQUEST),
  /** Transfer codings are not implemented. */
  TRANSFER_ENCODING(HttpStatus.NOT_IMPLEMENTED),
  BODY_TOO_LARGE(HttpStatus.CONTENT_TOO_LARGE),
  /** Too many header lines, a line that is too long, or too many bytes in all. */
  REQUEST_TOO_LARGE(HttpStatus.HEADER_FIELDS_TOO_LARGE);

  private final HttpStatus status;

  HttpRequestError(HttpStatus status) {
    this.status = status;
  }

  HttpStatus status() {
    return status;
  }
}
