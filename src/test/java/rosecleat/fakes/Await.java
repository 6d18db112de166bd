package rosecleat.fakes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits in tests for the effects of other threads. */
public final class Await {
  private static final long TIMEOUT_NS = 10_000_000_000L;

  private Await() {}

  /** Returns once the condition is true; fails the test after 10 seconds. */
  public static void until(BooleanSupplier condition) {
    until(condition, () -> "");
  }

  /** Like {@link #until(BooleanSupplier)}; the failure message contains the supplied state. */
  public static void until(BooleanSupplier condition, Supplier<String> state) {
    long deadlineNs = System.nanoTime() + TIMEOUT_NS;
    while (!condition.getAsBoolean()) {
      assertTrue(
          System.nanoTime() < deadlineNs,
          () -> "the condition was not met within 10 s: " + state.get());
      Thread.yield();
    }
  }
}
