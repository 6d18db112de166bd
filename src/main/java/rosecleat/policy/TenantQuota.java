package rosecleat.policy;

/**
 * A tenant's quota.
 *
 * @param quotaPerS the tenant's quota of requests per second, over all servers
 */
public record TenantQuota(double quotaPerS) {

  /**
   * Returns the quota as text. Digests of this text are stored with estimates, so its form must not
   * change; see {@link PriorityClass#digestText}.
   */
  public String digestText() {
    return "Tenant[quotaPerS=" + quotaPerS + "]";
  }
}
