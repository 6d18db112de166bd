package rosecleat.config;

/**
 * An operation that an API description defines.
 *
 * @param id the name by which a contract refers to the operation, unique across all descriptions
 * @param method the HTTP method in upper case
 * @param path the request path including the server's base path, with parameters in braces
 * @param contentType the media type of a successful response
 * @param exampleBody a response body that conforms to the description; empty if the description
 *     defines none
 */
record DescribedOperation(
    String id, String method, String path, String contentType, byte[] exampleBody) {
  /** Media type used if a description does not specify one. */
  static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";
}
