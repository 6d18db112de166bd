package rosecleat.policy;

/**
 * A tenant's quota.
 *
 * @param quotaPerS requests a second within its quota, over all servers
 */
public record TenantQuota(double quotaPerS) {

  /**
   * The quota as text. Digests of it are stored beside estimates, so its form stays as it is: see
   * {@link PriorityClass#digestText}.
   */
  public String digestText() {
    return "Tenant[quotaPerS=" + quotaPerS + "]";
  }
}
