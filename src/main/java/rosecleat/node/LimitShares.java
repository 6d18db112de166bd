package rosecleat.node;

import java.util.List;
import java.util.function.LongSupplier;
import rosecleat.policy.LimitUsage;
import rosecleat.policy.PolicyEngine;
import rosecleat.policy.PolicySettings;
import rosecleat.takeover.ResourceAmounts;
import rosecleat.takeover.TakeoverCoordinator;

/** This process's part of the node's limits, which its module works under. For the loop. */
final class LimitShares {
  private final TakeoverCoordinator handover;
  private final IndexedSettings settings;
  private final PolicyEngine decisions;
  private final LongSupplier clock;
  private ResourceAmounts grant = ResourceAmounts.NONE;

  LimitShares(
      TakeoverCoordinator handover,
      IndexedSettings settings,
      PolicyEngine decisions,
      LongSupplier clock) {
    this.handover = handover;
    this.settings = settings;
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
    PolicySettings s = settings.policySettings();
    LimitUsage taken = decisions.usage(clock.getAsLong());
    grant =
        handover.grant(
            new ResourceAmounts(
                s.concurrentCalls(), s.memoryKb(), s.cores() * s.overloadMultiple()),
            new ResourceAmounts(taken.meanCalls().get(0), taken.memoryKb(), taken.running()),
            taken.meanCalls(),
            leaving);
  }

  private void tell(List<Integer> renamed) {
    decisions.reconfigure(clock.getAsLong(), limits(), settings.gauges(), renamed);
  }

  /** The settings in force, with this process's part of the limits. */
  PolicySettings limits() {
    PolicySettings s = settings.policySettings();
    return s.withLimits(grant.memoryKb(), Math.max(1, grant.running() / s.cores()), grant.calls());
  }
}
