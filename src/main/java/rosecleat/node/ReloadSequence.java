package rosecleat.node;

import java.util.List;
import rosecleat.config.NodeConfig;

/**
 * Puts a changed configuration in force. This is the one place that says what a SIGHUP does, after
 * {@link ConfigReloader} has read and checked the files:
 *
 * <ol>
 *   <li>The time for a drain is taken, and the reload is counted and logged.
 *   <li>Classes and tenants get their indices; those that requests use keep theirs.
 *   <li>Policy, core and the retention of claims get their settings.
 *   <li>Descriptors are divided anew.
 *   <li>Both fronts take new requests by the new names and contracts.
 *   <li>Stored estimates follow the new settings, and a changed file of routes is published.
 *   <li>The clients of runtime, index and registry move to their new addresses.
 * </ol>
 *
 * <p>For the event loop, on which all of it happens at once.
 */
final class ReloadSequence {
  private final NodeParts parts;
  private final DescriptorAllocation descriptors;
  private final ShutdownSequence shutdown;

  ReloadSequence(NodeParts parts, DescriptorAllocation descriptors, ShutdownSequence shutdown) {
    this.parts = parts;
    this.descriptors = descriptors;
    this.shutdown = shutdown;
  }

  /** Puts a configuration in force that has been checked against the one before. */
  void apply(ProcessConfig config) {
    NodeConfig node = config.node();
    shutdown.setDrainTimeUs(node.stopTimeoutUs());
    logReload(node);
    List<Integer> renamed =
        parts.settings.update(config, parts.core::classInUse, parts.core::tenantInUse);
    parts.limitShares.reconfigure(renamed, shutdown.isUnderWay());
    parts.core.reconfigure(parts.settings.coreSettings());
    parts.takeover.setClaimRetentionUs(parts.core.maxTimeoutUs());
    descriptors.apply();
    parts.frontends.reconfigure(parts);
    if (config.broker().isPresent()) {
      parts.persistence.reconfigure(config.broker().get());
      parts.fleet.reconfigure(config.broker().get());
    }
    if (parts.runtime.isPresent()) {
      parts.runtime.get().setAddress(node.runtimeAddress());
    }
    parts.index.setAddress(node.indexAddress());
    parts.registry.setAddress(node.registryAddress());
  }

  private void logReload(NodeConfig node) {
    parts.counters.add("reloads");
    parts.log.info(
        "reloaded: classes "
            + node.settings().classNames()
            + ", runtime "
            + node.runtimeAddress()
            + ", index "
            + node.indexAddress()
            + ", roster "
            + node.registryAddress());
  }

  /** Puts a changed capacity of the fleet's instances in force. */
  void applyInstanceCapacity() {
    parts.settings.setInstanceCapacity(parts.fleet.instanceCapacity());
    parts.limitShares.reconfigure(List.of(), shutdown.isUnderWay());
    parts.core.reconfigure(parts.settings.coreSettings());
  }
}
