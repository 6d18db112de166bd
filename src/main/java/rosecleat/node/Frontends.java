package rosecleat.node;

import java.io.IOException;
import java.util.Optional;
import rosecleat.front.resp.RespFrontend;
import rosecleat.front.uwsgi.UwsgiFrontend;

/**
 * The RESP front and the uwsgi front of a node, opened and closed together. For the event loop.
 *
 * <p>The uwsgi front is asked for with {@code isPresent} instead of a method reference: that would
 * load its class in nodes without one.
 *
 * @param resp the front for balancers
 * @param uwsgi the uwsgi front; empty where the node has none
 */
record Frontends(RespFrontend resp, Optional<UwsgiFrontend> uwsgi) {
  /** Starts to listen on all addresses. */
  void listen() throws IOException {
    resp.listen();
    if (uwsgi.isPresent()) {
      uwsgi.get().listen();
    }
  }

  /** Puts a changed configuration in force for requests that arrive from now on. */
  void reconfigure(NodeParts parts) {
    resp.reconfigure(parts.settings.requestCatalog(parts.runner));
    if (uwsgi.isPresent()) {
      uwsgi.get().reconfigure(parts.settings.broker().orElseThrow());
    }
  }

  /**
   * Closes the listeners once no connection has arrived for some time, and uwsgi connections on
   * which nothing of a request has arrived for as long.
   *
   * @return whether both listeners are closed
   */
  boolean closeListenersWhenQuiet(long quietUs) {
    boolean respClosed = resp.closeListenerWhenQuiet(quietUs);
    boolean uwsgiClosed = uwsgi.isEmpty() || uwsgi.get().closeListenerWhenQuiet(quietUs);
    closeSilentConnections(quietUs);
    return respClosed && uwsgiClosed;
  }

  /** Closes each listener as soon as no connection waits at it; returns whether both are closed. */
  boolean closeListenersWhenEmpty() {
    boolean respClosed = resp.closeListenerWhenEmpty();
    boolean uwsgiClosed = uwsgi.isEmpty() || uwsgi.get().closeListenerWhenEmpty();
    return respClosed && uwsgiClosed;
  }

  /** Closes uwsgi connections on which nothing of a request has arrived for some time. */
  void closeSilentConnections(long quietUs) {
    if (uwsgi.isPresent()) {
      uwsgi.get().closeSilentConnections(quietUs);
    }
  }

  /** Closes every connection as soon as it awaits no response. */
  void closeConnections() {
    resp.closeConnections();
    if (uwsgi.isPresent()) {
      uwsgi.get().closeConnections();
    }
  }

  /** Returns the number of open connections. */
  int openConnections() {
    return resp.openConnections() + (uwsgi.isPresent() ? uwsgi.get().openConnections() : 0);
  }
}
