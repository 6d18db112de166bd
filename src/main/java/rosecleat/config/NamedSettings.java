package rosecleat.config;

import java.util.List;
import rosecleat.policy.PolicySettings;

/**
 * The policy's settings, with the names for the indexes that the policy uses.
 *
 * @param policy the settings of the policy
 * @param gaugeNames the names of the gauges that a host offers, in the order of the values it sends
 * @param classNames the class names, in the order of the policy's classes
 * @param tenantNames the tenant names, in the order of the policy's tenants
 */
public record NamedSettings(
    PolicySettings policy,
    List<String> gaugeNames,
    List<String> classNames,
    List<String> tenantNames) {}
