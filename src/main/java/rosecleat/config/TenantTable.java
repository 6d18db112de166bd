package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import rosecleat.policy.TenantQuota;

/** The tenants of the node's settings, followed by those that budgets add. */
final class TenantTable {
  /** Maximum difference between quotas that count as equal, in requests per second. */
  private static final double QUOTA_TOLERANCE = 1e-6;

  private final List<TenantQuota> tenants;
  private final List<String> names;

  TenantTable(NamedSettings settings) {
    tenants = new ArrayList<>(settings.policy().tenants());
    names = new ArrayList<>(settings.tenantNames());
  }

  /**
   * Returns the index of the tenant in a team's budget; adds the tenant if absent.
   *
   * @throws ConfigException if the quota is missing or differs from the quota of an existing tenant
   */
  int findOrAdd(String team, JsonNode budget) {
    String subject = "budget of " + team;
    String name = budget.path("tenant").asText(team);
    int index = names.indexOf(name);
    double knownQuota = index < 0 ? 0 : tenants.get(index).quotaPerS();
    double quota = budget.path("quota_per_s").asDouble(knownQuota);
    if (quota <= 0) {
      throw ConfigException.invalid(
          subject, "lacks quota_per_s, and tenant " + name + " has no quota yet");
    }
    if (index < 0) {
      tenants.add(new TenantQuota(quota));
      names.add(name);
      return tenants.size() - 1;
    }
    if (Math.abs(knownQuota - quota) > QUOTA_TOLERANCE) {
      throw ConfigException.invalid(
          subject, "has quota_per_s " + quota + ", but tenant " + name + " has " + knownQuota);
    }
    return index;
  }

  List<TenantQuota> tenants() {
    return List.copyOf(tenants);
  }

  List<String> names() {
    return List.copyOf(names);
  }
}
