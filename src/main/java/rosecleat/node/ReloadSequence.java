package rosecleat.node;

import java.util.List;
import rosecleat.config.NodeConfig;

/**
 * Puts a changed configuration in force, after {@link ConfigReloader} has read and checked the
 * files on SIGHUP. This class alone defines the order of a reload:
 *
 * <ol>
 *   <li>The drain time is set, and the reload is counted and logged.
 *   <li>Classes and tenants are assigned indices. Those that stay configured keep theirs; the index
 *       of a removed one is not reassigned while a request uses it.
 *   <li>The policy, the core and the retention of claims get their settings.
 *   <li>Descriptors are divided again.
 *   <li>Both frontends accept new requests according to the new names and contracts.
 *   <li>The persistence of estimates follows the new settings, and a changed routes file is
 *       published.
 *   <li>The clients of runtime, index and registry change to their new addresses.
 * </ol>
 *
 * <p>For use on the event loop, on which the whole reload runs as one task.
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

  /** Puts a configuration in force that has been checked against the previous one. */
  void apply(ProcessConfig config) {
    NodeConfig node = config.node();
    shutdown.setDrainTimeUs(node.stopTimeoutUs());
    logReload(node);
    List<Integer> renamed =
        parts.settings.update(config, parts.core::classInUse, parts.core::tenantInUse);
    parts.limitShares.reconfigure(renamed, shutdown.isUnderWay());
    parts.core.reconfigure(parts.settings.coreSettings());
    parts.takeover.setClaimRetentionUs(
        parts.core.maxTimeoutUs(), parts.core.maxIdempotencyWindowUs());
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
        "configuration reloaded: classes "
            + node.settings().classNames()
            + ", runtime "
            + node.runtimeAddress()
            + ", index "
            + node.indexAddress()
            + ", service registry "
            + node.registryAddress()
            + ", idempotency keys remembered: "
            + parts.core.rememberedKeys());
  }

  /** Applies a changed total capacity of the fleet's instances. */
  void applyInstanceCapacity() {
    parts.settings.setInstanceCapacity(parts.fleet.instanceCapacity());
    parts.limitShares.reconfigure(List.of(), shutdown.isUnderWay());
    parts.core.reconfigure(parts.settings.coreSettings());
  }
}
