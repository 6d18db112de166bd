package rosecleat.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the bounds of the local health score and its effect on timeouts. */
class LocalHealthTest {
  @Test
  void scoreStaysWithinItsBounds() {
    LocalHealth health = new LocalHealth(new Tuning(1_000, true));
    health.adjust(-1);
    assertEquals(0, health.score());
    health.adjust(100);
    assertEquals(Tuning.MAX_LOCAL_HEALTH, health.score());
  }

  @Test
  void timeoutDoublesAfterItsStepsUnlessLocalHealthIsOff() {
    LocalHealth on = new LocalHealth(new Tuning(1_000, true));
    on.adjust(4);
    assertEquals(2, on.timeoutFactor(4));
    assertEquals(3, on.timeoutFactor(2));
    LocalHealth off = new LocalHealth(new Tuning(1_000, false));
    off.adjust(4);
    assertEquals(1, off.timeoutFactor(4));
  }
}
