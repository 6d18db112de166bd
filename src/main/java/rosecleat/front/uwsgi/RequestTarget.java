package rosecleat.front.uwsgi;

/**
 * The method, path and query of a uwsgi request. Web servers send the path and the query as
 * separate vars, or only a URI that contains both.
 *
 * @param method the HTTP method; empty if the packet has none
 * @param path the path; empty if the packet has none
 * @param query the query without its question mark; empty if the packet has none
 */
record RequestTarget(String method, String path, String query) {
  /** Reads the target from the vars of the request; separate vars override the URI. */
  static RequestTarget of(UwsgiPacket packet) {
    String uri = packet.var("REQUEST_URI");
    int questionMark = uri.indexOf('?');
    String uriPath = questionMark < 0 ? uri : uri.substring(0, questionMark);
    String uriQuery = questionMark < 0 ? "" : uri.substring(questionMark + 1);
    return new RequestTarget(
        packet.var("REQUEST_METHOD"),
        packet.vars().getOrDefault("PATH_INFO", uriPath),
        packet.vars().getOrDefault("QUERY_STRING", uriQuery));
  }

  /** Returns whether the method and the path are both present. */
  boolean isComplete() {
    return !method.isEmpty() && !path.isEmpty();
  }
}
