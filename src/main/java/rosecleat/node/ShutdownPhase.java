package rosecleat.node;

import rosecleat.core.FailureReason;

/**
 * The part of a graceful shutdown in which requests still end: advanced with each tick until
 * nothing is left or the time is up.
 */
abstract class ShutdownPhase {
  /**
   * The node ends this long before its process would be killed (us): a tick may be late, estimates
   * and log lines are written, and the virtual machine ends. Clients were told the end {@link
   * #RESPOND_MARGIN_US} before, and the protocol gives what they sent meanwhile 50 ms to cross it.
   */
  static final long END_MARGIN_US = 200_000;

  /** Requests that still await a response get one this long before the process is killed (us). */
  private static final long RESPOND_MARGIN_US = 300_000;

  /** From this long before the process is killed, listeners are closed without waiting (us). */
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
   * Closes what can be closed by now.
   *
   * @param hurry whether the time is almost up
   * @return whether nothing is left to do
   */
  abstract boolean closeCompleted(boolean hurry);

  /** Takes one step; returns whether the node has served what it can. */
  final boolean advance() {
    long nowUs = parts.clock.getAsLong();
    boolean done = closeCompleted(nowUs > killedAtUs - HURRY_MARGIN_US);
    if (nowUs > killedAtUs - RESPOND_MARGIN_US) {
      parts.core.respondToAll(FailureReason.NODE_STOPPED);
      parts.frontends.closeConnections(); // in order, while there is time for it to arrive
    }
    return done || nowUs > killedAtUs - END_MARGIN_US;
  }

  /** Returns when the process is killed. */
  long killedAtUs() {
    return killedAtUs;
  }
}
