package rosecleat.admin;

/**
 * A complete, well-formed HTTP request.
 *
 * @param method the method, in upper case
 * @param target the path, which starts with a slash
 */
record HttpRequest(String method, String target) {}
