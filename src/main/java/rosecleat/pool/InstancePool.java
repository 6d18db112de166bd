package rosecleat.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The instances of one service and the outstanding work at each. Balances by the power of two
 * choices (Mitzenmacher 2001) over outstanding work divided by weight. Prefers instances in the
 * zone of this process; instances in other zones are considered once the chosen local instance has
 * as many requests outstanding as its capacity. Used by one thread.
 */
public final class InstancePool {
  /** Capacity of an instance that does not declare one (concurrent requests). */
  public static final int DEFAULT_CAPACITY = 4;

  /**
   * An instance as listed by the routes.
   *
   * @param weight its share of the work relative to the other instances, above 0
   * @param capacity the number of requests it processes concurrently; 0 if not declared
   * @param acceptsRequests whether it accepts new requests
   */
  public record InstanceSpec(
      String name,
      String host,
      int port,
      String zone,
      double weight,
      int capacity,
      boolean acceptsRequests) {}

  /** An instance of the pool; its outstanding work is retained when the routes change. */
  public static final class PooledInstance {
    private final String name;
    private final String host;
    private final int port;
    private double weight;
    private int capacity;
    private int outstanding;
    private double outstandingWorkUs;

    private PooledInstance(InstanceSpec spec) {
      name = spec.name;
      host = spec.host;
      port = spec.port;
    }

    /** Returns the name, which is unique in its service. */
    public String name() {
      return name;
    }

    /** Returns the host of the address as it is written in the routes. */
    public String host() {
      return host;
    }

    /** Returns the port of the address. */
    public int port() {
      return port;
    }

    /** Returns the number of outstanding requests. */
    public int outstanding() {
      return outstanding;
    }

    private boolean hasAddressOf(InstanceSpec spec) {
      return port == spec.port && host.equals(spec.host);
    }

    private boolean isFull() {
      return outstanding >= capacity;
    }

    /** Returns the load per weight that would result from adding this work. */
    private double loadWith(double workUs) {
      return (outstandingWorkUs + workUs) / weight;
    }
  }

  private final String zone;
  private final RandomGenerator random;
  private Map<String, PooledInstance> byName = new HashMap<>();
  private List<PooledInstance> local = List.of();
  private List<PooledInstance> remote = List.of();

  /** Creates an empty pool; {@code zone} is the zone of this process. */
  public InstancePool(String zone, RandomGenerator random) {
    this.zone = zone;
    this.random = random;
  }

  /**
   * Replaces the instances. An instance that keeps its name and address retains its outstanding
   * work; an instance that accepts no requests stays in the pool, so that it may accept requests
   * again.
   */
  public void update(List<InstanceSpec> specs) {
    Map<String, PooledInstance> updated = new HashMap<>();
    List<PooledInstance> localInstances = new ArrayList<>();
    List<PooledInstance> remoteInstances = new ArrayList<>();
    for (InstanceSpec spec : specs) {
      PooledInstance instance = byName.get(spec.name);
      if (instance == null || !instance.hasAddressOf(spec)) {
        instance = new PooledInstance(spec);
      }
      instance.weight = spec.weight;
      instance.capacity = spec.capacity > 0 ? spec.capacity : DEFAULT_CAPACITY;
      updated.put(spec.name, instance);
      if (spec.acceptsRequests) {
        (spec.zone.equals(zone) ? localInstances : remoteInstances).add(instance);
      }
    }
    byName = updated;
    local = List.copyOf(localInstances);
    remote = List.copyOf(remoteInstances);
  }

  /** Returns whether no instance accepts requests. */
  public boolean isEmpty() {
    return local.isEmpty() && remote.isEmpty();
  }

  /** Returns the sum of the capacities of all instances that accept requests. */
  public int capacity() {
    return capacityOf(local) + capacityOf(remote);
  }

  private static int capacityOf(List<PooledInstance> instances) {
    int sum = 0;
    for (PooledInstance instance : instances) {
      sum += instance.capacity;
    }
    return sum;
  }

  /**
   * Chooses an instance for a request with this much work and adds the work to the instance until
   * {@link #release}; returns null if no instance accepts requests.
   */
  public PooledInstance acquire(double workUs) {
    PooledInstance chosen = choose(workUs);
    if (chosen != null) {
      chosen.outstanding++;
      chosen.outstandingWorkUs += workUs;
    }
    return chosen;
  }

  private PooledInstance choose(double workUs) {
    PooledInstance localChoice = lessLoadedOfTwo(local, workUs);
    if (localChoice != null && !localChoice.isFull()) {
      return localChoice;
    }
    PooledInstance remoteChoice = lessLoadedOfTwo(remote, workUs);
    if (localChoice == null) {
      return remoteChoice;
    }
    boolean remoteIsBetter =
        remoteChoice != null
            && !remoteChoice.isFull()
            && remoteChoice.loadWith(workUs) < localChoice.loadWith(workUs);
    return remoteIsBetter ? remoteChoice : localChoice;
  }

  /** Ends a request and subtracts its work from the instance. */
  public void release(PooledInstance instance, double workUs) {
    instance.outstanding--;
    // an idle instance has no work, so that rounding errors do not accumulate
    instance.outstandingWorkUs =
        instance.outstanding == 0 ? 0 : Math.max(0, instance.outstandingWorkUs - workUs);
  }

  /** Returns the less loaded of two randomly chosen instances; null if there are none. */
  private PooledInstance lessLoadedOfTwo(List<PooledInstance> instances, double workUs) {
    if (instances.size() < 2) {
      return instances.isEmpty() ? null : instances.get(0);
    }
    int first = random.nextInt(instances.size());
    int second = random.nextInt(instances.size() - 1);
    PooledInstance one = instances.get(first);
    PooledInstance other = instances.get(second < first ? second : second + 1);
    return one.loadWith(workUs) <= other.loadWith(workUs) ? one : other;
  }
}
