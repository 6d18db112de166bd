package rosecleat.node;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import rosecleat.core.RunResult;
import rosecleat.front.uwsgi.InstanceBalancer;
import rosecleat.pool.InstancePool;
import rosecleat.routes.Instance;

/** A pool of instances for each service in the routes in force. For use on the event loop. */
final class InstancePools implements InstanceBalancer {
  private final String zone;
  private final SplittableRandom random = new SplittableRandom();
  private final Map<String, InstancePool> pools = new HashMap<>();
  private Runnable capacityListener = () -> {};

  InstancePools(String zone) {
    this.zone = zone;
  }

  /** Runs a task immediately and whenever the total capacity may have changed. */
  void onCapacityChange(Runnable task) {
    capacityListener = task;
    task.run();
  }

  /** Puts the services of a route table in force. Leases that have been granted remain valid. */
  void update(Map<String, Map<String, Instance>> services) {
    for (String service : services.keySet()) {
      pools.computeIfAbsent(service, name -> new InstancePool(zone, random.split()));
    }
    pools.forEach((service, pool) -> pool.update(specs(services.getOrDefault(service, Map.of()))));
    capacityListener.run();
  }

  private static List<InstancePool.InstanceSpec> specs(Map<String, Instance> instances) {
    return instances.entrySet().stream()
        .map(entry -> spec(entry.getKey(), entry.getValue()))
        .toList();
  }

  private static InstancePool.InstanceSpec spec(String name, Instance instance) {
    return new InstancePool.InstanceSpec(
        name,
        instance.host(),
        instance.port(),
        instance.zone(),
        instance.weight(),
        instance.capacity(),
        instance.state() == Instance.State.ON);
  }

  /** Returns the total number of requests that all instances process concurrently. */
  int capacity() {
    return pools.values().stream().mapToInt(InstancePool::capacity).sum();
  }

  @Override
  public boolean hasNoAvailableInstance(String service) {
    InstancePool pool = pools.get(service);
    return pool == null || pool.isEmpty();
  }

  @Override
  public Optional<Lease> lease(LeaseRequest request, long nowUs) {
    InstancePool pool = pools.get(request.service());
    InstancePool.PooledInstance instance = pool == null ? null : pool.acquire(1);
    if (instance == null) {
      return Optional.empty();
    }
    InetSocketAddress address = new InetSocketAddress(instance.host(), instance.port());
    return Optional.of(new PoolLease(pool, instance, address));
  }

  /** A lease of one concurrency slot of an instance. */
  private record PoolLease(
      InstancePool pool, InstancePool.PooledInstance instance, InetSocketAddress address)
      implements Lease {
    @Override
    public void release(RunResult result, long durationUs, int responseBytes) {
      pool.release(instance, 1);
    }
  }
}
