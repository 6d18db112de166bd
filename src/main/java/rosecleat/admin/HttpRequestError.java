package rosecleat.admin;

/**
 * Reasons for which the admin server rejects a malformed request, with the status of the response.
 */
enum HttpRequestError {
  MALFORMED_REQUEST_LINE(HttpStatus.BAD_REQUEST),
  UNSUPPORTED_VERSION(HttpStatus.VERSION_NOT_SUPPORTED),
  MALFORMED_HEADER(HttpStatus.BAD_REQUEST),
  MALFORMED_CONTENT_LENGTH(HttpStatus.BAD_REQUEST),
  MISSING_HOST(HttpStatus.BAD_REQUEST),
  /** The request has a Transfer-Encoding; transfer codings are not implemented. */
  TRANSFER_ENCODING(HttpStatus.NOT_IMPLEMENTED),
  BODY_TOO_LARGE(HttpStatus.CONTENT_TOO_LARGE),
  /**
   * The head has too many lines, a line is too long, or the request has too many bytes in total.
   */
  REQUEST_TOO_LARGE(HttpStatus.HEADER_FIELDS_TOO_LARGE);

  private final HttpStatus status;

  HttpRequestError(HttpStatus status) {
    this.status = status;
  }

  HttpStatus status() {
    return status;
  }
}
