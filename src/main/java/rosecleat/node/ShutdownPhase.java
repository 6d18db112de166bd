package rosecleat.node;

import rosecleat.core.FailureReason;

/**
 * The phase of a graceful shutdown in which requests in flight still complete. Each tick advances
 * it until no work is left or the time has expired.
 */
abstract class ShutdownPhase {
  /**
   * The node completes its shutdown this long before the platform would kill the process (us). The
   * margin allows for a late tick, for writing estimates and log lines, and for the exit of the
   * JVM. Clients are informed of the end {@link #RESPOND_MARGIN_US} before the kill, and the
   * protocol allows 50 ms for what they send in the meantime to arrive.
   */
  static final long END_MARGIN_US = 200_000;

  /** Requests that still await a response get one this long before the process is killed (us). */
  private static final long RESPOND_MARGIN_US = 300_000;

  /** Listeners are closed without waiting from this long before the process is killed (us). */
  private static final long HURRY_MARGIN_US = 2 * RESPOND_MARGIN_US;

  final NodeParts parts;
  private final long killedAtUs;

  ShutdownPhase(NodeParts parts, long killedAtUs) {
    this.parts = parts;
    this.killedAtUs = killedAtUs;
  }

  /** Returns whether clients are asked to close all their connections. */
  abstract boolean closesConnections();

  /**
   * Closes listeners and connections that are no longer needed.
   *
   * @param hurry whether the time has almost expired
   * @return whether no work is left
   */
  abstract boolean closeCompleted(boolean hurry);

  /** Advances the phase by one step; returns whether it is complete or its time has expired. */
  final boolean advance() {
    long nowUs = parts.clock.getAsLong();
    boolean done = closeCompleted(nowUs > killedAtUs - HURRY_MARGIN_US);
    if (nowUs > killedAtUs - RESPOND_MARGIN_US) {
      parts.core.respondToAll(FailureReason.NODE_STOPPED);
      // Connections are closed gracefully, while there is time for the responses to arrive.
      parts.frontends.closeConnections();
    }
    return done || nowUs > killedAtUs - END_MARGIN_US;
  }

  /** Returns the time at which the process is killed (us). */
  long killedAtUs() {
    return killedAtUs;
  }
}
