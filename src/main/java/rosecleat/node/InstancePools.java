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
import rosecleat.pool.Pool;
import rosecleat.routes.Instance;

/** The instances of all services as runs are given places at them. For the loop. */
final class InstancePools implements InstanceBalancer {
  private final String zone;
  private final SplittableRandom random = new SplittableRandom();
  private final Map<String, Pool> pools = new HashMap<>();
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
        .forEach(service -> pools.computeIfAbsent(service, s -> new Pool(zone, random.split())));
    pools.forEach(
        (service, pool) -> {
          List<Pool.Listed> listed = new ArrayList<>();
          services
              .getOrDefault(service, Map.of())
              .forEach(
                  (name, i) ->
                      listed.add(
                          new Pool.Listed(
                              name,
                              i.host(),
                              i.port(),
                              i.zone(),
                              i.weight(),
                              i.places(),
                              i.state() == Instance.State.ON)));
          pool.use(listed);
        });
    changed.run();
  }

  /** Requests that all instances work on at once. */
  int places() {
    return pools.values().stream().mapToInt(Pool::places).sum();
  }

  @Override
  public boolean hasNoAvailableInstance(String service) {
    Pool pool = pools.get(service);
    return pool == null || pool.none();
  }

  @Override
  public Optional<Lease> lease(LeaseRequest request, long nowUs) {
    Pool pool = pools.get(request.service());
    Pool.Place place = pool == null ? null : pool.take(1);
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
            pool.give(place, 1);
          }
        });
  }
}
