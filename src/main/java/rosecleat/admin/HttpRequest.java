package rosecleat.admin;

/**
 * A complete, well-formed request.
 *
 * @param method the method as sent, in upper case
 * @param target the path as sent, starting with a slash
 */
record HttpRequest(String method, String target) {}
