package rosecleat.fakes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits in tests for what other threads bring about. */
public final class Await {
  private static final long TIMEOUT_NS = 10_000_000_000L;

  private Await() {}

  /** Returns once the condition holds; fails the test after 10 seconds. */
  public static void until(BooleanSupplier condition) {
    until(condition, () -> "");
  }

  /** The same; the failure shows the state of things by then. */
  public static void until(BooleanSupplier condition, Supplier<String> state) {
    long deadlineNs = System.nanoTime() + TIMEOUT_NS;
    while (!condition.getAsBoolean()) {
      assertTrue(
          System.nanoTime() < deadlineNs,
          () -> "the condition did not come to hold: " + state.get());
      Thread.yield();
    }
  }
}
