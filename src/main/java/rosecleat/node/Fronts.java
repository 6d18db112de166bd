package rosecleat.node;

import java.io.IOException;
import rosecleat.front.resp.RespFront;
import rosecleat.front.uwsgi.UwsgiFront;

/** Both fronts of a node as one; {@code uwsgi} is null where there is no second one. */
record Fronts(RespFront resp, UwsgiFront uwsgi) {
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
    boolean shut = resp.stopListening(quietUs) & (uwsgi == null || uwsgi.stopListening(quietUs));
    closeIdle(quietUs);
    return shut;
  }

  /** Accepts what waits, and then nothing more; true when none can come any more. */
  boolean handOver() {
    return resp.handOver() & (uwsgi == null || uwsgi.handOver());
  }

  /** Closes the second front's connections on which nothing of a request has come for so long. */
  void closeIdle(long quietUs) {
    if (uwsgi != null) {
      uwsgi.closeIdle(quietUs);
    }
  }

  /** Ends every connection in order, as soon as nothing is owed on it. */
  void closeAll() {
    resp.closeAll();
    if (uwsgi != null) {
      uwsgi.closeAll();
    }
  }

  /** Connections that are open. */
  int open() {
    return resp.open() + (uwsgi == null ? 0 : uwsgi.open());
  }
}
