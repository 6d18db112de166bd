package rosecleat.node;

import java.util.concurrent.TimeUnit;

/**
 * Runs the time-driven work of a node. The core decides when the next tick is due. For use on the
 * event loop.
 */
final class NodeTicker {
  /** A tick that is later than this delays responses and is logged (us). */
  private static final long LATE_TICK_US = 200_000;

  /** Time from a tick that failed to the next one (us). */
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

  /**
   * Starts ticking for the lifetime of the event loop. An exception ends only the tick that threw
   * it.
   */
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
          "event loop tick was "
              + TimeUnit.MICROSECONDS.toMillis(lateUs)
              + " ms late, "
              + parts.core.inFlight()
              + " requests in flight");
    }
  }
}
