package rosecleat.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The instances of one service, and what is out at each. Power of two choices (Mitzenmacher 2001)
 * over outstanding work by weight: the process's own zone first, others once its choice has as much
 * out as it has places. For one thread.
 */
public final class InstancePool {
  /** Places of an instance that does not say how many it has. */
  public static final int PLACES = 4;

  /** An instance; what is out at it stays with it while the table changes round it. */
  public static final class PooledInstance {
    private final String name;
    private final String host;
    private final int port;
    private String zone;
    private double weight;
    private int places;
    private boolean takes;
    private int out;
    private double workUs;

    private PooledInstance(String name, String host, int port) {
      this.name = name;
      this.host = host;
      this.port = port;
    }

    public String name() {
      return name;
    }

    public String host() {
      return host;
    }

    public int port() {
      return port;
    }

    /** Requests that are out at it. */
    public int out() {
      return out;
    }

    private double load(double more) {
      return (workUs + more) / weight;
    }
  }

  /** How an instance is to stand from now on. */
  public record InstanceSpec(
      String name, String host, int port, String zone, double weight, int places, boolean takes) {}

  private final String zone;
  private final RandomGenerator random;
  private Map<String, PooledInstance> known = new HashMap<>();
  private List<PooledInstance> near = List.of();
  private List<PooledInstance> far = List.of();

  /** A pool that is empty; {@code zone} is this process's own. */
  public InstancePool(String zone, RandomGenerator random) {
    this.zone = zone;
    this.random = random;
  }

  /** The instances from now on. One that keeps its name and address keeps what is out at it. */
  public void update(List<InstanceSpec> listed) {
    Map<String, PooledInstance> fresh = new HashMap<>();
    List<PooledInstance> here = new ArrayList<>();
    List<PooledInstance> elsewhere = new ArrayList<>();
    for (InstanceSpec each : listed) {
      PooledInstance place = known.get(each.name);
      if (place == null || place.port != each.port || !place.host.equals(each.host)) {
        place = new PooledInstance(each.name, each.host, each.port);
      }
      place.zone = each.zone;
      place.weight = each.weight;
      place.places = each.places > 0 ? each.places : PLACES;
      place.takes = each.takes;
      fresh.put(each.name, place);
      if (each.takes) {
        (each.zone.equals(zone) ? here : elsewhere).add(place);
      }
    }
    known = fresh;
    near = List.copyOf(here);
    far = List.copyOf(elsewhere);
  }

  /** Whether none takes anything. */
  public boolean isEmpty() {
    return near.isEmpty() && far.isEmpty();
  }

  /** Requests that those that take any work on at once, all together. */
  public int capacity() {
    int sum = 0;
    for (PooledInstance place : near) {
      sum += place.places;
    }
    for (PooledInstance place : far) {
      sum += place.places;
    }
    return sum;
  }

  /** Chooses an instance for so much work and books it there; null where none takes anything. */
  public PooledInstance acquire(double workUs) {
    PooledInstance chosen = better(near, workUs);
    if (chosen == null || chosen.out >= chosen.places) {
      PooledInstance other = better(far, workUs);
      chosen =
          chosen == null
                  || other != null
                      && other.out < other.places
                      && other.load(workUs) < chosen.load(workUs)
              ? other
              : chosen;
    }
    if (chosen != null) {
      chosen.out++;
      chosen.workUs += workUs;
    }
    return chosen;
  }

  /** What was booked is done. */
  public void release(PooledInstance place, double workUs) {
    place.out--;
    place.workUs =
        place.out == 0 ? 0 : Math.max(0, place.workUs - workUs); // rounding must not grow
  }

  private PooledInstance better(List<PooledInstance> of, double workUs) {
    if (of.size() < 2) {
      return of.isEmpty() ? null : of.get(0);
    }
    int first = random.nextInt(of.size());
    int second = random.nextInt(of.size() - 1);
    PooledInstance a = of.get(first);
    PooledInstance b = of.get(second < first ? second : second + 1);
    return a.load(workUs) <= b.load(workUs) ? a : b;
  }
}
