package rosecleat.front.uwsgi;

/**
 * What a uwsgi request is for. Web servers send the path and the query as vars of their own, or
 * only the URI that contains both.
 *
 * @param method the HTTP method; empty where the packet lacks it
 * @param path the path; empty where the packet lacks it
 * @param query the query without its question mark; empty for none
 */
record RequestTarget(String method, String path, String query) {
  /** Reads the target from the vars of a request. */
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

  /** Whether the method and the path are both present. */
  boolean isComplete() {
    return !method.isEmpty() && !path.isEmpty();
  }
}
