package rosecleat.node;

import java.util.function.LongSupplier;
import rosecleat.core.Core;
import rosecleat.takeover.TakeoverCoordinator;

/**
 * Another process of this node takes over: what is here is served as ever, and what comes later
 * comes to the other. The socket is closed first, as soon as the other listens and in an instant
 * when nothing waits at it; connections are asked to close after that, so that whatever they
 * reconnect to is the other.
 */
final class TakeoverShutdown extends GracefulShutdown {
  /** A caller of the second front that has sent nothing for so long is not waited for (us). */
  private static final long CALM_US = 500_000;

  private final TakeoverCoordinator handover;
  private boolean shut;
  private boolean hurried;

  TakeoverShutdown(
      Core core, Frontends fronts, TakeoverCoordinator handover, LongSupplier clock, long endUs) {
    super(core, fronts, clock, endUs);
    this.handover = handover;
  }

  /**
   * Towards the end also before the socket is shut: where all places are taken it can't be while
   * they are, and whoever comes back to this process is served and asked again.
   */
  @Override
  boolean sendsAway() {
    return shut || hurried;
  }

  /** Whether nobody takes over any more, while this process could still do without. */
  boolean forsaken() {
    return !shut && !handover.successorIsAlive();
  }

  /**
   * Keyed runs nobody waits for here are waited for too: a repeat at the other process may ask for
   * their results.
   */
  @Override
  boolean step(boolean hurry) {
    hurried |= hurry;
    shut = shut || (handover.successorIsServing() || hurry) && fronts.handOver();
    if (shut) {
      fronts.closeIdle(CALM_US);
    }
    return shut && core.inFlight() == 0 && fronts.open() == 0;
  }
}
