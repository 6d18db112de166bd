package rosecleat.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the shares of the memory that arrivals, runs and keys may use. */
class MemoryBudgetTest {
  private final PolicyContext context =
      new PolicyContext(TestSettings.plain(), 1, null); // 100,000 KB
  private final MemoryBudget memory = new MemoryBudget(context);

  private static TrackedRequest queued(double queuedKb) {
    PolicyRequest request =
        new PolicyRequest(1, 0, 0, 0, 0, 0, queuedKb, 0.5, false, false, 1, 0, 0);
    return new TrackedRequest(request, TestSettings.SAFE, 0, 1_000_000, 3_000_000);
  }

  @Test
  void arrivalsAndSharedReadsAreRefusedBeforeRunsAndKeys() {
    memory.add(85_000);
    assertFalse(memory.isFull());
    assertTrue(memory.hasCapacityForKey());
    assertFalse(memory.canSpareKey());
    memory.add(1);
    assertTrue(memory.isFull());
  }

  @Test
  void memoryOfRunReplacesMemoryOfQueuedRequest() {
    TrackedRequest tracked = queued(10);
    memory.add(tracked.memoryKb);
    assertTrue(memory.hasCapacityToRun(tracked));
    memory.grow(tracked);
    assertEquals(80, memory.usedKb());
    memory.release(tracked.memoryKb);
    assertEquals(0, memory.usedKb());
  }

  @Test
  void runThatExceedsMemoryIsNotStarted() {
    memory.add(91_990);
    TrackedRequest tracked = queued(10);
    memory.add(tracked.memoryKb);
    assertFalse(memory.hasCapacityToRun(tracked));
    assertFalse(memory.hasCapacityForKey());
  }
}
