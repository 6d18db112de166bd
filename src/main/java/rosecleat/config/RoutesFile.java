package rosecleat.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The content of a routes file: the service instances that a process publishes.
 *
 * @param instances all instances, in file order
 */
public record RoutesFile(List<InstanceEntry> instances) {

  /** Specifies whether an instance receives requests. */
  public enum InstanceState {
    /** The instance receives requests. */
    ON,
    /** The instance completes its requests and receives no new ones. */
    DRAIN,
    /** The instance receives no requests. */
    OFF
  }

  /**
   * An instance of a service.
   *
   * @param service the name of the service in the broker files
   * @param name the name of the instance, unique in its service
   * @param address the address of its uwsgi service
   * @param zone its failure domain; empty if it has none
   * @param weight its share of the requests relative to the other instances; default 1
   * @param state whether it receives requests; default {@link InstanceState#ON}
   * @param capacity the number of requests that it executes concurrently; 0 if not specified
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
