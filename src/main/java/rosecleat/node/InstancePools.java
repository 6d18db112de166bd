package rosecleat.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import rosecleat.core.RunResult;
import rosecleat.front.uwsgi.InstanceBalancer;
import rosecleat.pool.InstancePool;
import rosecleat.routes.Instance;

/** The instances of all services as runs are given places at them. For the loop. */
final class InstancePools implements InstanceBalancer {
  private final String zone;
  private final SplittableRandom random = new SplittableRandom();
  private final Map<String, InstancePool> pools = new HashMap<>();
  private Runnable changed = () -> {};

  InstancePools(String zone) {
    this.zone = zone;
  }

  /** Who hears that there are other places now. */
  void tell(Runnable of) {
    changed = of;
    of.run();
  }

  /** What the table says from now on; what is out stays where it is. */
  void use(Map<String, Map<String, Instance>> services) {
    services
        .keySet()
        .forEach(
            service -> pools.computeIfAbsent(service, s -> new InstancePool(zone, random.split())));
    pools.forEach(
        (service, pool) -> {
          List<InstancePool.InstanceSpec> listed = new ArrayList<>();
          services
              .getOrDefault(service, Map.of())
              .forEach(
                  (name, i) ->
                      listed.add(
                          new InstancePool.InstanceSpec(
                              name,
                              i.host(),
                              i.port(),
                              i.zone(),
                              i.weight(),
                              i.capacity(),
                              i.state() == Instance.State.ON)));
          pool.update(listed);
        });
    changed.run();
  }

  /** Requests that all instances work on at once. */
  int places() {
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
    InstancePool.PooledInstance place = pool == null ? null : pool.acquire(1);
    if (place == null) {
      return Optional.empty();
    }
    InetSocketAddress at = new InetSocketAddress(place.host(), place.port());
    return Optional.of(
        new Lease() {
          @Override
          public InetSocketAddress address() {
            return at;
          }

          @Override
          public void release(RunResult result, long durationUs, int responseBytes) {
            pool.release(place, 1);
          }
        });
  }
}
