package rosecleat.node;

import java.util.function.LongSupplier;
import rosecleat.core.Core;

/**
 * The notice to leave, where nobody takes over. Past the grace nothing that comes is run any more:
 * connections are asked to close, and once no new ones come none are taken. Closing the socket
 * under callers that still connect would reset what the system has accepted for this node; those
 * are answered like all others.
 */
final class DrainShutdown extends GracefulShutdown {
  /** When no connection has come for so long, none is expected any more (us). */
  private static final long CALM_US = 500_000;

  DrainShutdown(Core core, Frontends fronts, LongSupplier clock, long endUs) {
    super(core, fronts, clock, endUs);
  }

  @Override
  boolean sendsAway() {
    return core.gracePeriodOver();
  }

  @Override
  boolean step(boolean hurry) {
    boolean shut = core.gracePeriodOver() && fronts.stopListening(hurry ? 0 : CALM_US);
    return shut && core.awaitingResponse() == 0 && fronts.open() == 0;
  }
}
