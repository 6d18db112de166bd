package rosecleat.node;

import java.io.IOException;
import rosecleat.front.resp.RespFrontend;
import rosecleat.front.uwsgi.UwsgiFrontend;

/** Both fronts of a node as one; {@code uwsgi} is null where there is no second one. */
record Frontends(RespFrontend resp, UwsgiFrontend uwsgi) {
  void listen() throws IOException {
    resp.listen();
    if (uwsgi != null) {
      uwsgi.listen();
    }
  }

  /**
   * Accepts what waits and then nothing more, once no connection has come for so long; true when
   * none can come.
   */
  boolean stopListening(long quietUs) {
    boolean shut =
        resp.closeListenerWhenQuiet(quietUs)
            & (uwsgi == null || uwsgi.closeListenerWhenQuiet(quietUs));
    closeIdle(quietUs);
    return shut;
  }

  /** Accepts what waits, and then nothing more; true when none can come any more. */
  boolean handOver() {
    return resp.closeListenerWhenEmpty() & (uwsgi == null || uwsgi.closeListenerWhenEmpty());
  }

  /** Closes the second front's connections on which nothing of a request has come for so long. */
  void closeIdle(long quietUs) {
    if (uwsgi != null) {
      uwsgi.closeSilentConnections(quietUs);
    }
  }

  /** Ends every connection in order, as soon as nothing is owed on it. */
  void closeAll() {
    resp.closeConnections();
    if (uwsgi != null) {
      uwsgi.closeConnections();
    }
  }

  /** Connections that are open. */
  int open() {
    return resp.openConnections() + (uwsgi == null ? 0 : uwsgi.openConnections());
  }
}
