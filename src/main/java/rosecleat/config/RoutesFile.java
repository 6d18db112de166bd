package rosecleat.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The routes file: the instances of services that a process publishes.
 *
 * @param instances all instances, in the file's order
 */
public record RoutesFile(List<InstanceEntry> instances) {

  /** Whether an instance takes requests. */
  public enum InstanceState {
    /** It takes requests. */
    ON,
    /** It completes the requests it has, and takes no new ones. */
    DRAIN,
    /** It takes none. */
    OFF
  }

  /**
   * One instance of a service.
   *
   * @param service the service's name in the broker files
   * @param name the instance's name, one of its kind in the service
   * @param address where its uwsgi service listens
   * @param zone its failure domain; empty where it has none
   * @param weight its share of the requests, relative to the others; by default 1
   * @param state whether it takes requests; by default {@link InstanceState#ON}
   * @param capacity requests that it works on at once; 0 where the file does not say
   */
  public record InstanceEntry(
      String service,
      String name,
      InetSocketAddress address,
      String zone,
      double weight,
      InstanceState state,
      int capacity) {}
}
