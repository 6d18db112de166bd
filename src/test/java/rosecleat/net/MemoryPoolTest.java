package rosecleat.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The bounds of memory pools, and how the memory for clients is divided into them. */
class MemoryPoolTest {
  /** Guards clients that hold little against one that takes all it can. */
  @Test
  void largeAccountLeavesThePartOfSmallOnes() {
    MemoryPool pool = new MemoryPool(1_000, 50, 10);
    MemoryPool.Account large = pool.openAccount();
    assertTrue(large.tryReserve(500));
    assertFalse(large.tryReserve(1));
    for (int i = 0; i < 10; i++) {
      assertTrue(pool.openAccount().tryReserve(50));
    }
    assertEquals(1_000, pool.usedBytes());
  }

  /** A refused account keeps what it holds, and what is released can be reserved again. */
  @Test
  void releasedBytesAreAvailableAgain() {
    MemoryPool pool = new MemoryPool(1_000, 0, 10);
    MemoryPool.Account first = pool.openAccount();
    MemoryPool.Account second = pool.openAccount();
    assertTrue(first.tryHold(900));
    assertFalse(second.tryReserve(200));
    first.release(100);
    assertTrue(second.tryReserve(200));
    assertFalse(first.tryReserve(1));
    assertEquals(800, first.heldBytes());
    first.releaseAll();
    assertEquals(200, pool.usedBytes());
  }

  /** Where many accounts hold little, the one that has held its bytes for longest makes room. */
  @Test
  void oldestSmallAccountIsEvicted() {
    MemoryPool pool = new MemoryPool(100, 50, 10);
    List<Integer> evicted = new ArrayList<>();
    List<MemoryPool.Account> accounts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      int number = i;
      accounts.add(pool.openAccount(() -> evicted.add(number)));
      assertTrue(accounts.get(i).tryHold(40));
    }
    assertEquals(List.of(0), evicted);
    assertEquals(0, accounts.get(0).heldBytes());
    assertTrue(accounts.get(2).tryHold(50));
    assertEquals(List.of(0, 1), evicted);
    assertEquals(50, pool.usedBytes());
  }

  /**
   * Guards the sum against accounts that hold much, give most of it back and so leave the part of
   * large accounts to others, one after the other.
   */
  @Test
  void accountsThatBecomeSmallDoNotPassTheLimit() {
    MemoryPool pool = new MemoryPool(1_000, 50, 10);
    for (int i = 0; i < 100; i++) {
      MemoryPool.Account account = pool.openAccount();
      if (account.tryHold(60)) {
        account.release(10);
      }
      assertTrue(pool.usedBytes() <= 1_000, pool.usedBytes() + " bytes after account " + i);
    }
  }

  /** All parts together stay within the heap, beside what the process itself needs. */
  @ParameterizedTest
  @CsvSource({"12, 128", "12, 1024", "16, 1024", "26, 1024", "32, 960", "40, 1024", "40, 4096"})
  void partsTogetherFitIntoTheHeap(long heapMib, int connections) {
    ClientMemory memory = new ClientMemory(heapMib << 20, connections);
    long sum =
        (long) memory.maxConnections() * (memory.readBufferBytes() + (3 << 10))
            + memory.incompleteInput().limitBytes()
            + memory.requests().limitBytes()
            + memory.readAhead().limitBytes()
            + memory.output().limitBytes();
    assertTrue(
        sum <= Math.max(0.55 * (heapMib << 20) - (6 << 20), (heapMib << 20) / 4.0), "" + sum);
    assertTrue(memory.incompleteInput().limitBytes() > 0);
  }
}
