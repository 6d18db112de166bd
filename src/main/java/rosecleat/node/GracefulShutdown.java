package rosecleat.node;

import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.core.FailureReason;

/** How a node leaves, step by step with its beat, until nothing is left to do or the time is up. */
abstract class GracefulShutdown {
  /** The node is gone so long before it would be killed (us). */
  static final long EARLY_US = 150_000;

  /** What is owed so shortly before the end is answered then (us). */
  static final long LAST_US = 300_000;

  final Core core;
  final Frontends fronts;
  private final LongSupplier clock;
  private final long endUs;

  GracefulShutdown(Core core, Frontends fronts, LongSupplier clock, long endUs) {
    this.core = core;
    this.fronts = fronts;
    this.clock = clock;
    this.endUs = endUs;
  }

  /** Whether all connections are asked to close. */
  abstract boolean sendsAway();

  /** Does what is due; true where nothing is left to do. */
  abstract boolean step(boolean hurry);

  /**
   * One step; true once the node has left. What is still owed just before the end is answered then.
   */
  final boolean over() {
    long now = clock.getAsLong();
    boolean done = step(now > endUs - 2 * LAST_US);
    if (now > endUs - LAST_US) {
      core.respondToAll(FailureReason.NODE_STOPPED);
      fronts.closeAll(); // told the end in order, while there is time for it to be heard
    }
    return done || now > endUs - EARLY_US;
  }

  /** When the process is killed. */
  long endUs() {
    return endUs;
  }
}
