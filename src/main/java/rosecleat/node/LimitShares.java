package rosecleat.node;

import java.util.List;
import java.util.function.LongSupplier;
import rosecleat.policy.Decisions;
import rosecleat.policy.PolicyApi;
import rosecleat.takeover.ResourceAmounts;
import rosecleat.takeover.TakeoverCoordinator;

/** This process's part of the node's limits, which its module works under. For the loop. */
final class LimitShares {
  private final TakeoverCoordinator handover;
  private final IndexedSettings numbering;
  private final Decisions decisions;
  private final LongSupplier clock;
  private ResourceAmounts grant = ResourceAmounts.NONE;

  LimitShares(
      TakeoverCoordinator handover,
      IndexedSettings numbering,
      Decisions decisions,
      LongSupplier clock) {
    this.handover = handover;
    this.numbering = numbering;
    this.decisions = decisions;
    this.clock = clock;
  }

  /**
   * Finds what this process may take beside its others, and tells them; the module hears of it
   * where it has changed.
   */
  void look(boolean leaving) {
    ResourceAmounts before = grant;
    find(leaving);
    if (!grant.equals(before)) {
      tell(List.of());
    }
  }

  /**
   * The settings have changed: the module is told them, with the numbers that stand for other
   * classes now.
   */
  void retune(List<Integer> renamed, boolean leaving) {
    find(leaving);
    tell(renamed);
  }

  private void find(boolean leaving) {
    PolicyApi.Settings s = numbering.settings();
    Decisions.Taken taken = decisions.taken(clock.getAsLong());
    grant =
        handover.grant(
            new ResourceAmounts(s.callsOut(), s.memoryKb(), s.cores() * s.fallMultiple()),
            new ResourceAmounts(taken.calls().get(0), taken.memoryKb(), taken.running()),
            taken.calls(),
            leaving);
  }

  private void tell(List<Integer> renamed) {
    decisions.retune(clock.getAsLong(), limits(), numbering.gauges(), renamed);
  }

  /** The settings in force, with this process's part of the limits. */
  PolicyApi.Settings limits() {
    PolicyApi.Settings s = numbering.settings();
    return s.within(grant.memoryKb(), Math.max(1, grant.running() / s.cores()), grant.calls());
  }
}
