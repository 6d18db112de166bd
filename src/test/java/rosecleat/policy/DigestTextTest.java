package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests that the texts whose digests are stored with estimates match those of earlier versions. */
class DigestTextTest {
  @Test
  void classDigestTextMatchesStoredForm() {
    PriorityClass requestClass =
        new PriorityClass(2.5, 0.1, 900_000, 1.5, 3_000_000, Idempotency.KEYED, 60, true, 0.4);
    assertEquals(
        "Klass[worth=2.5, lateWorth=0.1, aimUs=900000, aimStretch=1.5, dueUs=3000000,"
            + " effect=KEYED, windowUs=60, calls=true, worthWithoutCall=0.4]",
        requestClass.digestText());
  }

  @Test
  void tenantDigestTextMatchesStoredForm() {
    assertEquals("Tenant[quotaPerS=10.0]", new TenantQuota(10).digestText());
  }
}
