package rosecleat.node;

import java.io.IOException;
import java.util.Optional;
import rosecleat.front.resp.RespFrontend;
import rosecleat.front.uwsgi.UwsgiFrontend;

/**
 * The RESP frontend and the uwsgi frontend of a node, which are opened and closed together. For use
 * on the event loop.
 *
 * <p>The optional uwsgi frontend is tested with {@code isPresent} instead of being used through a
 * method reference, which would load its class even in nodes without one.
 *
 * @param resp the frontend for balancers
 * @param uwsgi the uwsgi frontend; empty if the node has none
 */
record Frontends(RespFrontend resp, Optional<UwsgiFrontend> uwsgi) {
  /** Starts to listen on all addresses. */
  void listen() throws IOException {
    resp.listen();
    if (uwsgi.isPresent()) {
      uwsgi.get().listen();
    }
  }

  /** Applies a changed configuration to requests that arrive from now on. */
  void reconfigure(NodeParts parts) {
    resp.reconfigure(parts.settings.requestCatalog(parts.runner));
    if (uwsgi.isPresent()) {
      uwsgi.get().reconfigure(parts.settings.broker().orElseThrow());
    }
  }

  /**
   * Closes the listeners once no connection has arrived for {@code quietUs} microseconds, and
   * closes uwsgi connections that have been open for as long without receiving any part of a
   * request.
   *
   * @return whether both listeners are closed
   */
  boolean closeListenersWhenQuiet(long quietUs) {
    boolean respClosed = resp.closeListenerWhenQuiet(quietUs);
    boolean uwsgiClosed = uwsgi.isEmpty() || uwsgi.get().closeListenerWhenQuiet(quietUs);
    closeSilentConnections(quietUs);
    return respClosed && uwsgiClosed;
  }

  /** Closes each listener as soon as its backlog is empty; returns whether both are closed. */
  boolean closeListenersWhenEmpty() {
    boolean respClosed = resp.closeListenerWhenEmpty();
    boolean uwsgiClosed = uwsgi.isEmpty() || uwsgi.get().closeListenerWhenEmpty();
    return respClosed && uwsgiClosed;
  }

  /**
   * Closes uwsgi connections that have been open for {@code quietUs} microseconds without receiving
   * any part of a request.
   */
  void closeSilentConnections(long quietUs) {
    if (uwsgi.isPresent()) {
      uwsgi.get().closeSilentConnections(quietUs);
    }
  }

  /** Closes each connection as soon as it awaits no response. */
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
