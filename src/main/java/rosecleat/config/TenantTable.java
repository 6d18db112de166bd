package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import rosecleat.policy.TenantQuota;

/** The tenants of the node's settings and those that budgets add behind them. */
final class TenantTable {
  /** Quotas that differ by less are the same (requests per second). */
  private static final double QUOTA_TOLERANCE = 1e-6;

  private final List<TenantQuota> tenants;
  private final List<String> names;

  TenantTable(NamedSettings settings) {
    tenants = new ArrayList<>(settings.policy().tenants());
    names = new ArrayList<>(settings.tenantNames());
  }

  /**
   * The index of the tenant that a team's budget names, which is added where there is none.
   *
   * @throws ConfigException where the budget has no quota, or another one than its tenant
   */
  int findOrAdd(String team, JsonNode budget) {
    String subject = "the budget of " + team;
    String name = budget.path("tenant").asText(team);
    int index = names.indexOf(name);
    double knownQuota = index < 0 ? 0 : tenants.get(index).quotaPerS();
    double quota = budget.path("quota_per_s").asDouble(knownQuota);
    if (quota <= 0) {
      throw ConfigException.invalid(subject, "lacks quota_per_s");
    }
    if (index < 0) {
      tenants.add(new TenantQuota(quota));
      names.add(name);
      return tenants.size() - 1;
    }
    if (Math.abs(knownQuota - quota) > QUOTA_TOLERANCE) {
      throw ConfigException.invalid(subject, "is not the quota of tenant " + name);
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
