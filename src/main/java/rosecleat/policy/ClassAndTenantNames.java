package rosecleat.policy;

import java.util.List;

/**
 * The names of the classes and tenants, by index.
 *
 * @param classes the name of each class, null where the index is not in use
 * @param tenants the name of each tenant, null where the index is not in use
 */
public record ClassAndTenantNames(List<String> classes, List<String> tenants) {}
