package rosecleat.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * How a process takes part in a fleet: the section {@code fleet} of the broker file.
 *
 * @param name the member's name, by default the node's
 * @param cluster the fleet's name, by default {@code default}; members of others are ignored
 * @param listen where the process receives the fleet's messages
 * @param advertise the address that other members use, by default {@code listen}
 * @param zone the failure domain that the process runs in; empty where it has none
 * @param seeds addresses where other members may be found; the process's own among them does no
 *     harm
 * @param periodUs the protocol period of the failure detector in microseconds, by default 1 s
 */
public record FleetConfig(
    String name,
    String cluster,
    InetSocketAddress listen,
    InetSocketAddress advertise,
    String zone,
    List<InetSocketAddress> seeds,
    long periodUs) {
  private static final long DEFAULT_PERIOD_MS = 1000;

  /** Reads the section of a broker file; null where there is none. */
  static FleetConfig read(JsonNode root, String nodeName) {
    JsonNode section = root.path("fleet");
    if (section.isMissingNode()) {
      return null;
    }
    InetSocketAddress listen = address(section, "listen");
    InetSocketAddress advertise = address(section, "advertise");
    if (listen == null) {
      throw ConfigException.invalid("the broker's file", "lacks fleet.listen");
    }
    if (advertise == null && listen.getAddress().isAnyLocalAddress()) {
      throw ConfigException.invalid(
          "fleet.listen", "is no address that others can reach: fleet.advertise is needed");
    }
    return new FleetConfig(
        section.path("name").asText(nodeName),
        section.path("cluster").asText("default"),
        listen,
        advertise == null ? listen : advertise,
        section.path("zone").asText(""),
        seeds(section),
        Units.MICROSECONDS_PER_MS * section.path("period_ms").asLong(DEFAULT_PERIOD_MS));
  }

  private static InetSocketAddress address(JsonNode section, String key) {
    return AddressParser.parse(section.path(key).asText(""), "fleet." + key);
  }

  private static List<InetSocketAddress> seeds(JsonNode section) {
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (JsonNode seed : section.path("seeds")) {
      seeds.add(AddressParser.parse(seed.asText(), "fleet.seeds"));
    }
    return List.copyOf(seeds);
  }
}
