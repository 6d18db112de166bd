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

/** Choice of an instance as instances are added, removed, drained and filled. */
class InstancePoolTest {
  private final InstancePool pool = new InstancePool("here", new SplittableRandom(1));

  private static InstanceSpec listed(
      String name, String zone, double weight, boolean acceptsRequests) {
    return new InstanceSpec(name, "10.0.0.1", 1, zone, weight, 2, acceptsRequests);
  }

  @Test
  void localZoneIsPreferredUntilItsInstancesAreFull() {
    pool.update(
        List.of(
            listed("a", "here", 1, true),
            listed("b", "there", 1, true),
            listed("c", "there", 1, true)));
    List<PooledInstance> acquired = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      acquired.add(pool.acquire(1));
    }
    assertEquals("a", acquired.get(0).name());
    assertEquals("a", acquired.get(1).name());
    Map<String, Integer> requestsByInstance = new HashMap<>();
    acquired.forEach(instance -> requestsByInstance.merge(instance.name(), 1, Integer::sum));
    assertTrue(
        requestsByInstance.get("a") <= 3
            && requestsByInstance.get("b") + requestsByInstance.get("c") >= 3,
        requestsByInstance.toString());
    acquired.forEach(instance -> pool.release(instance, 1));
    assertEquals("a", pool.acquire(1).name());
  }

  @Test
  void outstandingWorkPerWeightDecidesNotRequestCount() {
    pool.update(List.of(listed("small", "here", 1, true), listed("large", "here", 4, true)));
    // both instances are compared each time, and the one of larger weight receives both requests
    pool.acquire(100);
    pool.acquire(100);
    Map<String, Double> workByInstance = new HashMap<>();
    for (int i = 0; i < 400; i++) {
      workByInstance.merge(pool.acquire(1).name(), 1.0, Double::sum);
    }
    assertTrue(
        workByInstance.get("large") > 2 * workByInstance.getOrDefault("small", 0.0),
        workByInstance.toString());
  }

  @Test
  void drainedInstanceGetsNoNewRequestsAndKeepsItsOutstandingWork() {
    pool.update(List.of(listed("a", "here", 1, true)));
    PooledInstance first = pool.acquire(5);
    pool.update(List.of(listed("a", "here", 1, false), listed("b", "here", 1, true)));
    assertEquals("b", pool.acquire(1).name());
    pool.release(first, 5);
    assertEquals(0, first.outstanding());
    pool.update(List.of(listed("a", "here", 1, true)));
    assertEquals(first, pool.acquire(1)); // the same instance, with its outstanding work
    pool.update(List.of());
    assertTrue(pool.isEmpty());
    assertNull(pool.acquire(1));
    assertEquals(0, pool.capacity());
  }
}
