package rosecleat.config;

import java.util.List;
import rosecleat.policy.PolicySettings;

/**
 * The policy's settings, with the names that stand behind its indexes.
 *
 * @param policy the settings of the policy
 * @param gaugeNames the gauges that a host offers, in the order in which it sends their values
 * @param classNames the name of each class, in the order of the policy's classes
 * @param tenantNames the name of each tenant, in the order of the policy's tenants
 */
public record NamedSettings(
    PolicySettings policy,
    List<String> gaugeNames,
    List<String> classNames,
    List<String> tenantNames) {}
