package rosecleat.config;

/**
 * An operation that an API description defines.
 *
 * @param id the name by which a contract refers to it, one of its kind in all descriptions
 * @param method the HTTP method in upper case
 * @param path the path of the request, with the server's base path and with parameters in braces
 * @param contentType the media type of a successful response
 * @param exampleBody a response body that the description allows; empty where it says nothing
 */
record DescribedOperation(
    String id, String method, String path, String contentType, byte[] exampleBody) {
  /** The media type where a description names none. */
  static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";
}
