package rosecleat.node;

import java.util.concurrent.TimeUnit;

/**
 * Does everything on a node that depends on time alone. The core decides when the next tick is due.
 * For the event loop.
 */
final class NodeTicker {
  /** A tick that is this late delays responses and is logged (us). */
  private static final long LATE_TICK_US = 200_000;

  /** The time from a tick that failed to the next (us). */
  private static final long RETRY_DELAY_US = 20_000;

  private final NodeParts parts;
  private final PeerMonitor peers;
  private final ShutdownSequence shutdown;
  private long nextTickUs = Long.MAX_VALUE;

  NodeTicker(NodeParts parts, PeerMonitor peers, ShutdownSequence shutdown) {
    this.parts = parts;
    this.peers = peers;
    this.shutdown = shutdown;
  }

  /** Ticks from now on for as long as the loop lives; an exception ends its own tick alone. */
  void start() {
    long nextUs = parts.clock.getAsLong() + RETRY_DELAY_US;
    try {
      nextUs = tick();
    } finally {
      nextTickUs = nextUs;
      parts.loop.schedule(nextUs - parts.clock.getAsLong(), this::start);
    }
  }

  private long tick() {
    long nowUs = parts.clock.getAsLong();
    warnIfLate(nowUs);
    peers.pollIfDue(nowUs);
    long nextUs = parts.core.tick();
    parts.frontends.resp().closeIdleConnections(shutdown.closesConnections());
    shutdown.advance(nowUs);
    return nextUs;
  }

  private void warnIfLate(long nowUs) {
    long lateUs = nowUs - nextTickUs;
    if (lateUs > LATE_TICK_US) {
      parts.counters.add("beats.late");
      parts.log.warn(
          "the loop was "
              + TimeUnit.MICROSECONDS.toMillis(lateUs)
              + " ms late, with "
              + parts.core.inFlight()
              + " in hand");
    }
  }
}
