package rosecleat.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import rosecleat.policy.Idempotency;

/** What remembered idempotency keys occupy. */
class RememberedKeysTest {
  /** Guards the heap against a client that sends ever new keys. */
  @Test
  void numberOfKeysIsBoundedByTheHeap() {
    assertEquals(1_024, IdempotentAttempts.maxKeys(12 << 20));
    assertTrue(IdempotentAttempts.maxKeys(40 << 20) > 2_000);
    assertTrue(IdempotentAttempts.maxKeys(40 << 20) < 3_000);
  }

  /**
   * Guards the heap against the bodies and connections of keyed requests that have ended, which
   * were kept as long as their keys.
   */
  @Test
  void entryDoesNotKeepTheRequestWhoseRunHasEnded() throws IllegalAccessException {
    RequestIdentity identity =
        RequestIdentity.ofStatedClass("load", Optional.of("t"), "k", new byte[1]);
    Request request =
        new Request(
            "1",
            0,
            1,
            0,
            "load",
            0,
            1,
            false,
            1,
            0,
            "k",
            Optional.of(identity),
            0,
            new byte[1],
            Map.of(),
            null,
            null);
    RequestClass keyed = new RequestClass("load", Idempotency.KEYED, false, 1, 1);
    InFlightRequest attempt = new InFlightRequest(7, request, keyed, 1);
    IdempotencyEntry entry = IdempotencyEntry.of(identity, 1);
    entry.makeOwnerUnlessStarted(attempt);
    entry.startRun();
    entry.endRun(Optional.of(new byte[1]));
    assertTrue(entry.ownedBy(attempt));
    assertTrue(entry.hasLocalRun("1"));
    assertEquals(7, entry.originalSequence());
    for (Field field : IdempotencyEntry.class.getDeclaredFields()) {
      field.setAccessible(true);
      assertTrue(field.get(entry) != attempt, field.getName());
    }
  }
}
