package rosecleat.node;

import java.util.List;
import java.util.function.LongSupplier;
import rosecleat.policy.LimitUsage;
import rosecleat.policy.PolicyEngine;
import rosecleat.policy.PolicySettings;
import rosecleat.takeover.ResourceAmounts;
import rosecleat.takeover.TakeoverCoordinator;

/**
 * The share of the node's limits that this process has, and under which its policy works. For use
 * on the event loop.
 */
final class LimitShares {
  private final TakeoverCoordinator takeover;
  private final IndexedSettings settings;
  private final PolicyEngine policy;
  private final LongSupplier clock;
  private ResourceAmounts grant = ResourceAmounts.NONE;

  LimitShares(
      TakeoverCoordinator takeover,
      IndexedSettings settings,
      PolicyEngine policy,
      LongSupplier clock) {
    this.takeover = takeover;
    this.settings = settings;
    this.policy = policy;
    this.clock = clock;
  }

  /**
   * Updates the share of this process beside its peers, and reconfigures the policy if the share
   * has changed.
   */
  void refresh(boolean shuttingDown) {
    ResourceAmounts before = grant;
    updateGrant(shuttingDown);
    if (!grant.equals(before)) {
      reconfigurePolicy(List.of());
    }
  }

  /**
   * Puts changed settings in force.
   *
   * @param renamedClasses the indices that have been assigned to a different class, including new
   *     indices
   * @param shuttingDown whether this process shuts down
   */
  void reconfigure(List<Integer> renamedClasses, boolean shuttingDown) {
    updateGrant(shuttingDown);
    reconfigurePolicy(renamedClasses);
  }

  private void updateGrant(boolean shuttingDown) {
    PolicySettings node = settings.policySettings();
    LimitUsage usage = policy.usage(clock.getAsLong());
    ResourceAmounts limits =
        new ResourceAmounts(
            node.concurrentCalls(), node.memoryKb(), node.cores() * node.overloadMultiple());
    ResourceAmounts inUse =
        new ResourceAmounts(usage.meanCalls().get(0), usage.memoryKb(), usage.running());
    grant = takeover.grant(limits, inUse, usage.meanCalls(), shuttingDown);
  }

  private void reconfigurePolicy(List<Integer> renamedClasses) {
    policy.reconfigure(clock.getAsLong(), limits(), settings.gauges(), renamedClasses);
  }

  /** Returns the settings in force with the limits reduced to the share of this process. */
  PolicySettings limits() {
    PolicySettings node = settings.policySettings();
    double overloadMultiple = Math.max(1, grant.running() / node.cores());
    return node.withLimits(grant.memoryKb(), overloadMultiple, grant.calls());
  }
}
