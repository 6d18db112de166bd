package rosecleat.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rosecleat.pool.InstancePool.InstanceSpec;
import rosecleat.pool.InstancePool.PooledInstance;

/** Which instance is taken, as instances come, go, drain and fill. */
class InstancePoolTest {
  private final InstancePool pool = new InstancePool("here", new SplittableRandom(1));

  private static InstanceSpec listed(String name, String zone, double weight, boolean takes) {
    return new InstanceSpec(name, "10.0.0.1", 1, zone, weight, 2, takes);
  }

  @Test
  void ownZoneFirstThenOthersWhereItIsFull() {
    pool.update(
        List.of(
            listed("a", "here", 1, true),
            listed("b", "there", 1, true),
            listed("c", "there", 1, true)));
    List<PooledInstance> taken = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      taken.add(pool.acquire(1));
    }
    assertEquals("a", taken.get(0).name());
    assertEquals("a", taken.get(1).name());
    Map<String, Integer> out = new HashMap<>();
    taken.forEach(place -> out.merge(place.name(), 1, Integer::sum));
    assertTrue(out.get("a") <= 3 && out.get("b") + out.get("c") >= 3, out.toString());
    taken.forEach(place -> pool.release(place, 1));
    assertEquals("a", pool.acquire(1).name());
  }

  @Test
  void workByWeightNotCountDecides() {
    pool.update(List.of(listed("small", "here", 1, true), listed("large", "here", 4, true)));
    pool.acquire(100); // the two choices are all there are: one has it now
    pool.acquire(100);
    Map<String, Double> work = new HashMap<>();
    for (int i = 0; i < 400; i++) {
      work.merge(pool.acquire(1).name(), 1.0, Double::sum);
    }
    assertTrue(work.get("large") > 2 * work.getOrDefault("small", 0.0), work.toString());
  }

  @Test
  void drainedTakesNothingNewAndKeepsWhatItHas() {
    pool.update(List.of(listed("a", "here", 1, true)));
    PooledInstance first = pool.acquire(5);
    pool.update(List.of(listed("a", "here", 1, false), listed("b", "here", 1, true)));
    assertEquals("b", pool.acquire(1).name());
    pool.release(first, 5);
    assertEquals(0, first.outstanding());
    pool.update(List.of(listed("a", "here", 1, true)));
    assertEquals(first, pool.acquire(1)); // the same place, with what is out at it
    pool.update(List.of());
    assertTrue(pool.isEmpty());
    assertNull(pool.acquire(1));
    assertEquals(0, pool.capacity());
  }
}
